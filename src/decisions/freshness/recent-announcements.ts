import type { Clock, Milliseconds } from '../../types/clock.js'
import type { AnnouncementMessage } from '../../types/control-message.js'
import type { Announcement } from '../../types/database-status.js'
import type { DatabaseId } from '../../types/ids.js'

/** Databases announce themselves every second; one that missed three announcements may be gone. */
const KEPT_MS = 3000

/** Announcements that reached this instance lately. */
export interface RecentAnnouncements {
  /** @returns the message that forwards the announcement */
  keep: (announcement: Announcement) => AnnouncementMessage
  recent: () => AnnouncementMessage[]
}

export function createRecentAnnouncements (clock: Clock): RecentAnnouncements {
  const kept = new Map<DatabaseId, { message: AnnouncementMessage, at: Milliseconds }>()

  return {
    keep: (announcement) => {
      const message: AnnouncementMessage = { version: 1, kind: 'announcement', ageMs: 0, announcement }
      kept.set(announcement.database, { message, at: clock.now() })
      return message
    },
    recent: () => {
      for (const [database, { at }] of kept) {
        if (clock.now() - at > KEPT_MS) kept.delete(database)
      }
      return [...kept.values()].map(({ message, at }) => ({ ...message, ageMs: clock.now() - at }))
    }
  }
}

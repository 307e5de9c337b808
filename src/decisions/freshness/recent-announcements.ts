import type { Clock, Milliseconds } from '../../types/clock.js'
import type { AnnouncementMessage } from '../../types/control-message.js'
import type { Announcement } from '../../types/database-status.js'
import type { DatabaseId } from '../../types/ids.js'

/** Databases announce themselves every second; a database that missed three announcements may have stopped. */
const RETENTION_MS = 3000

/** Keeps the announcements that this instance received recently. */
export interface RecentAnnouncements {
  /** @returns the message that forwards the announcement to the control leader */
  keep: (announcement: Announcement) => AnnouncementMessage
  /** @returns the messages that forward the recent announcements, each with the current age of its announcement */
  list: () => AnnouncementMessage[]
}

export function createRecentAnnouncements (clock: Clock): RecentAnnouncements {
  const received = new Map<DatabaseId, { message: AnnouncementMessage, at: Milliseconds }>()

  return {
    keep: (announcement) => {
      const message: AnnouncementMessage = { version: 1, kind: 'announcement', ageMs: 0, announcement }
      received.set(announcement.database, { message, at: clock.now() })
      return message
    },
    list: () => {
      for (const [database, { at }] of received) {
        if (clock.now() - at > RETENTION_MS) received.delete(database)
      }
      return [...received.values()].map(({ message, at }) => ({ ...message, ageMs: clock.now() - at }))
    }
  }
}

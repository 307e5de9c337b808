import { request } from 'undici'
import type { Announcement } from '../../src/types/database-status.js'
import type { AnnouncementOptions } from './options.js'

const ANNOUNCEMENT_INTERVAL_MS = 1_000
const ANNOUNCEMENT_TIMEOUT_MS = 500
const HTTP_SUCCESS_CLASS = 2
const HTTP_STATUSES_PER_CLASS = 100

/** Sends the database's announcement to one instance, every second and on each call of `announceNow`. */
export interface Announcer {
  start: () => void
  stop: () => void
  /** Announces at once, unless the announcer is stopped. */
  announceNow: () => void
}

/**
 * Creates an announcer that is stopped.
 * @param buildAnnouncement - returns the current content
 * @param isCutOff - whether the simulated network drops announcements at present
 */
export function createAnnouncer (options: AnnouncementOptions, buildAnnouncement: () => Announcement, isCutOff: () => boolean): Announcer {
  let nextInstance = 0
  let timer: NodeJS.Timeout | null = null
  let isAnnouncing = false
  let shouldAnnounceAgain = false

  async function postToNextInstance (): Promise<boolean> {
    const target = options.instances[nextInstance % options.instances.length]
    if (target === undefined) return false
    try {
      const answer = await request(`http://${target}/v1/announcements`, {
        method: 'POST',
        headers: { authorization: `Bearer ${options.secret}`, 'content-type': 'application/json' },
        body: JSON.stringify(buildAnnouncement()),
        signal: AbortSignal.timeout(ANNOUNCEMENT_TIMEOUT_MS)
      })
      await answer.body.dump()
      return Math.floor(answer.statusCode / HTTP_STATUSES_PER_CLASS) === HTTP_SUCCESS_CLASS
    } catch {
      return false
    }
  }

  async function announceToFirstAccepting (): Promise<void> {
    // Attempts each instance at most once, beginning with the one that accepted the last announcement.
    for (let attempt = 0; attempt < options.instances.length; attempt++) {
      if (timer === null || isCutOff()) return
      if (await postToNextInstance()) return
      nextInstance++
    }
  }

  async function announce (): Promise<void> {
    if (isAnnouncing) {
      shouldAnnounceAgain = true
      return
    }
    isAnnouncing = true
    do {
      shouldAnnounceAgain = false
      await announceToFirstAccepting()
    } while (shouldAnnounceAgain)
    isAnnouncing = false
  }

  return {
    start: () => {
      timer = setInterval(() => announce(), ANNOUNCEMENT_INTERVAL_MS)
      announce()
    },
    stop: () => {
      if (timer !== null) clearInterval(timer)
      timer = null
    },
    announceNow: () => { if (timer !== null) announce() }
  }
}

import { request } from 'undici'
import type { Announcement } from '../../src/types/database-status.js'
import type { AnnouncementOptions } from './options.js'

const ANNOUNCEMENT_INTERVAL_MS = 1_000
const ANNOUNCEMENT_TIMEOUT_MS = 500
const HTTP_SUCCESS_CLASS = 2
const HTTP_CLASS_SIZE = 100

/** Tells instances about the database, each second and when asked to. */
export interface Announcer {
  start: () => void
  stop: () => void
  announceNow: () => void
}

/**
 * @param announcement - the current content
 * @param isCutOff - whether the network drops announcements at present
 */
export function createAnnouncer (options: AnnouncementOptions, announcement: () => Announcement, isCutOff: () => boolean): Announcer {
  let instance = 0
  let timer: NodeJS.Timeout | null = null
  let busy = false
  let again = false

  async function post (): Promise<boolean> {
    const target = options.instances[instance % options.instances.length]
    if (target === undefined) return false
    try {
      const answer = await request(`http://${target}/v1/announcements`, {
        method: 'POST',
        headers: { authorization: `Bearer ${options.secret}`, 'content-type': 'application/json' },
        body: JSON.stringify(announcement()),
        signal: AbortSignal.timeout(ANNOUNCEMENT_TIMEOUT_MS)
      })
      await answer.body.dump()
      return Math.floor(answer.statusCode / HTTP_CLASS_SIZE) === HTTP_SUCCESS_CLASS
    } catch {
      return false
    }
  }

  async function announce (): Promise<void> {
    // One round over all instances; the next interval tries again.
    for (let attempt = 0; attempt < options.instances.length; attempt++) {
      if (timer === null || isCutOff()) return
      if (await post()) return
      instance++
    }
  }

  async function run (): Promise<void> {
    if (busy) {
      again = true
      return
    }
    busy = true
    do {
      again = false
      await announce()
    } while (again)
    busy = false
  }

  return {
    start: () => {
      timer = setInterval(() => run(), ANNOUNCEMENT_INTERVAL_MS)
      run()
    },
    stop: () => {
      if (timer !== null) clearInterval(timer)
      timer = null
    },
    announceNow: () => { if (timer !== null) run() }
  }
}

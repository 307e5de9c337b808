import type { GroupMember } from '../stand-ins/platform/group-member.js'
import type { WireGroup } from '../stand-ins/platform/wire-group.js'

export interface DatabaseAnnouncerOptions {
  /** Sends a request to some control instance. @returns whether it was confirmed in time */
  post: (path: string, body: unknown, timeoutMs: number) => Promise<boolean>
  /** @returns the address at which the system reaches a database */
  addressOf: (member: GroupMember) => string
  failureDomains: number
  intervalMs: number
  /** Called when announcing a database fails in an unexpected way. */
  onError: (message: string) => void
}

/** Announces databases to the system until they have left it or `stop` is called. */
export interface DatabaseAnnouncer {
  start: (group: WireGroup, member: GroupMember) => void
  /** Announces from now on that a database departs. */
  drain: (member: GroupMember) => void
  /** Announces the end of a database, which is not announced any more. */
  deregister: (group: WireGroup, member: GroupMember) => Promise<void>
  stop: () => void
}

/** Time limit of an announcement in milliseconds. */
const TIMEOUT_MS = 1000

/** Creates the announcer. */
export function createDatabaseAnnouncer (options: DatabaseAnnouncerOptions): DatabaseAnnouncer {
  const departing = new Set<GroupMember>()
  const ended = new Set<GroupMember>()
  const sequences = new Map<GroupMember, number>()
  const state = { hasStopped: false }
  let count = 0

  function nextSequence (member: GroupMember): number {
    const sequence = (sequences.get(member) ?? 0) + 1
    sequences.set(member, sequence)
    return sequence
  }

  async function announce (group: WireGroup, member: GroupMember, zone: string): Promise<void> {
    while (!state.hasStopped && !ended.has(member)) {
      const role = group.primary() === member ? 'primary' : 'replica'
      const state = departing.has(member) ? 'draining' : 'ready'
      const body = { service: group.service, address: options.addressOf(member), zone, version: '1', slots: 8, state, cold_remaining_ms: 0, db_role: role, sequence: nextSequence(member), born: member.bornAt }
      if (member.isUp) await options.post(`/api/instances/${member.id}/heartbeat`, body, TIMEOUT_MS)
      await new Promise((resolve) => { setTimeout(resolve, options.intervalMs) })
    }
  }

  return {
    start: (group, member) => {
      announce(group, member, `domain-${count++ % options.failureDomains}`).catch((error: unknown) => { options.onError(`announcements of a database failed: ${String(error)}`) })
    },
    drain: (member) => { departing.add(member) },
    deregister: async (group, member) => {
      ended.add(member)
      await options.post(`/api/instances/${member.id}/deregister`, { service: group.service, sequence: nextSequence(member), born: member.bornAt }, TIMEOUT_MS)
    },
    stop: () => { state.hasStopped = true }
  }
}

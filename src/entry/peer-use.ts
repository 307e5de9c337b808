import type { Blackboard } from '../blackboard/blackboard.js'
import { directoryEntry } from '../blackboard/entry-instance-entries.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import type { Address, GroupId, InstanceId } from '../types/ids.js'

/**
 * A group that no request came for keeps its channels for this long, in milliseconds.
 * So does an instance that is no longer a holder: it still finishes the requests and transactions that it was sent.
 */
const KEEP_MS = 60_000

export interface PeerUseOptions {
  instance: InstanceId
  clock: Clock
  blackboard: Blackboard
  setPeers: (peers: ReadonlyMap<InstanceId, Address>) => void
}

/** Decides which instances to keep channels to: present and recent holders of the groups that requests arrive for. */
export interface PeerUse {
  use: (group: GroupId) => void
  /** The directory changed. */
  refresh: () => void
  tick: () => void
}

/** At 710 instances and 400 groups a full mesh would be 252,000 channels; most instances see a few groups only. */
export function createPeerUse (options: PeerUseOptions): PeerUse {
  const { clock, instance } = options
  const directoryReader = options.blackboard.reader(directoryEntry)
  const usedAt = new Map<GroupId, Milliseconds>()
  const formerSince = new Map<InstanceId, Milliseconds>()
  let holders = new Set<InstanceId>()

  function noteFormer (present: ReadonlySet<InstanceId>): void {
    for (const holder of holders) {
      if (!present.has(holder)) formerSince.set(holder, clock.now())
    }
    for (const holder of present) formerSince.delete(holder)
  }

  function refresh (): void {
    const directory = directoryReader.read()
    if (directory === null) return
    const present = new Set(directory.groups.filter(({ group }) => usedAt.has(group)).flatMap((group) => group.holders))
    present.delete(instance)
    noteFormer(present)
    holders = present
    const wanted = directory.instances.filter((entry) => holders.has(entry.instance) || formerSince.has(entry.instance))
    options.setPeers(new Map(wanted.map((entry) => [entry.instance, entry.peerAddress])))
  }

  function use (group: GroupId): void {
    const isNew = !usedAt.has(group)
    usedAt.set(group, clock.now())
    if (isNew) refresh()
  }

  function tick (): void {
    let dropped = false
    for (const [group, at] of usedAt) {
      if (clock.now() - at < KEEP_MS) continue
      usedAt.delete(group)
      dropped = true
    }
    for (const [former, since] of formerSince) {
      if (clock.now() - since < KEEP_MS) continue
      formerSince.delete(former)
      dropped = true
    }
    if (dropped) refresh()
  }

  return { use, refresh, tick }
}

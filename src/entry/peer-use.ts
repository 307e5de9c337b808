import type { Blackboard } from '../blackboard/blackboard.js'
import { directoryEntry } from '../blackboard/entry-instance-entries.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import type { Address, GroupId, InstanceId } from '../types/ids.js'

/**
 * Time for which channels stay open after the last request for their group, in milliseconds.
 * A former connection holder keeps its channel for the same time, because it still finishes the requests and transactions sent to it.
 */
const CHANNEL_RETENTION_MS = 60_000

export interface PeerUseOptions {
  instance: InstanceId
  clock: Clock
  blackboard: Blackboard
  /** Sets the instances to which channels are kept, with their addresses. */
  setHolders: (holders: ReadonlyMap<InstanceId, Address>) => void
}

/** Selects the instances to which this instance keeps channels: the present and former connection holders of the groups that its callers use. */
export interface PeerUse {
  /** Records that a request for the group has arrived. */
  recordGroupUse: (group: GroupId) => void
  /** Selects again after a change of the directory. */
  update: () => void
  tick: () => void
}

/** Creates a selection without groups. In a deployment of 710 instances and 400 groups, channels between all instances would number 252,000, but most instances receive requests for a few groups only. */
export function createPeerUse (options: PeerUseOptions): PeerUse {
  const { clock, instance } = options
  const directoryReader = options.blackboard.reader(directoryEntry)
  const lastUsedAt = new Map<GroupId, Milliseconds>()
  const formerHolderSince = new Map<InstanceId, Milliseconds>()
  let presentHolders = new Set<InstanceId>()

  function recordFormerHolders (present: ReadonlySet<InstanceId>): void {
    for (const holder of presentHolders) {
      if (!present.has(holder)) formerHolderSince.set(holder, clock.now())
    }
    for (const holder of present) formerHolderSince.delete(holder)
  }

  function update (): void {
    const directory = directoryReader.read()
    if (directory === null) return
    const present = new Set(directory.groups.filter(({ group }) => lastUsedAt.has(group)).flatMap((group) => group.holders))
    present.delete(instance)
    recordFormerHolders(present)
    presentHolders = present
    const wanted = directory.instances.filter((entry) => presentHolders.has(entry.instance) || formerHolderSince.has(entry.instance))
    options.setHolders(new Map(wanted.map((entry) => [entry.instance, entry.peerAddress])))
  }

  function recordGroupUse (group: GroupId): void {
    const isNew = !lastUsedAt.has(group)
    lastUsedAt.set(group, clock.now())
    if (isNew) update()
  }

  function tick (): void {
    let hasRemoved = false
    for (const [group, at] of lastUsedAt) {
      if (clock.now() - at < CHANNEL_RETENTION_MS) continue
      lastUsedAt.delete(group)
      hasRemoved = true
    }
    for (const [former, since] of formerHolderSince) {
      if (clock.now() - since < CHANNEL_RETENTION_MS) continue
      formerHolderSince.delete(former)
      hasRemoved = true
    }
    if (hasRemoved) update()
  }

  return { recordGroupUse, update, tick }
}

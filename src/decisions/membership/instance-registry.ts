import type { Blackboard } from '../../blackboard/blackboard.js'
import { registeredInstancesEntry } from '../../blackboard/control-instance-entries.js'
import type { ConnectionHolderObservation, RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { Heartbeat } from '../../types/control-message.js'
import type { DatabaseId, IncarnationId, InstanceId } from '../../types/ids.js'
import { FRESHNESS_LEASE_END_MS } from '../../types/lease.js'
import { createRetiredIncarnations } from './retired-incarnations.js'

/** Time without a heartbeat after which an instance counts as out of contact: two heartbeat intervals, so that a single lost heartbeat is no gap. */
const CONTACT_GAP_MS = 1000

export interface InstanceRegistryOptions {
  blackboard: Blackboard
  clock: Clock
  /** Time without a heartbeat after which an instance is lost, in ms. Default: one freshness lease with clock drift. */
  lostAfterMs?: number
}

/**
 * - `joined`: first heartbeat of this incarnation, or the first one after the instance was lost
 * - `changed`: the address, failure domain or draining state changed
 * - `ignored`: a heartbeat of a replaced incarnation, or a delayed or repeated one
 */
export type HeartbeatOutcome = 'joined' | 'changed' | 'unchanged' | 'ignored'

/** The instances that send heartbeats, each as its last heartbeat describes it. */
export interface InstanceRegistry {
  /** Handles a heartbeat. @returns what changed */
  handle: (heartbeat: Heartbeat) => HeartbeatOutcome
  /** Removes an incarnation that has left as planned. @returns whether it was registered */
  leave: (instance: InstanceId, incarnation: IncarnationId) => boolean
  /** Removes the instances that are lost. @returns the instances that this call removed */
  tick: () => RegisteredInstance[]
  /** Clears the registry. The coordinator calls it at each change of leadership. */
  reset: () => void
}

/** Creates the registry; it writes `registeredInstancesEntry`. */
export function createInstanceRegistry (options: InstanceRegistryOptions): InstanceRegistry {
  const { blackboard, clock } = options
  const lostAfterMs = options.lostAfterMs ?? FRESHNESS_LEASE_END_MS
  const entry = blackboard.claim(registeredInstancesEntry, 'instance-registry')
  const retiredIncarnations = createRetiredIncarnations<InstanceId>()
  let instances = new Map<InstanceId, RegisteredInstance>()
  entry.write(instances)

  function handle (heartbeat: Heartbeat): HeartbeatOutcome {
    const known = instances.get(heartbeat.instance)
    // Once the newer incarnation is lost, the older one is accepted again: a delayed heartbeat may have retired it wrongly.
    if (known === undefined) retiredIncarnations.remove(heartbeat.instance, heartbeat.incarnation)
    if (retiredIncarnations.has(heartbeat.instance, heartbeat.incarnation)) return 'ignored'
    const isSameIncarnation = known?.incarnation === heartbeat.incarnation
    if (known !== undefined && isSameIncarnation && heartbeat.sequence <= known.sequence) return 'ignored'
    if (known !== undefined && !isSameIncarnation) retiredIncarnations.add(known.instance, known.incarnation)
    const now = clock.now()
    const isInContact = known !== undefined && isSameIncarnation && now - known.lastHeartbeatAt <= CONTACT_GAP_MS
    const registered = toRegisteredInstance(heartbeat, now, isInContact ? known.inContactSince : now)
    instances.set(heartbeat.instance, registered)
    entry.write(instances)
    if (known === undefined || !isSameIncarnation) return 'joined'
    return hasSameAttributes(known, registered) ? 'unchanged' : 'changed'
  }

  function leave (instance: InstanceId, incarnation: IncarnationId): boolean {
    if (instances.get(instance)?.incarnation !== incarnation) return false
    instances.delete(instance)
    entry.write(instances)
    return true
  }

  function tick (): RegisteredInstance[] {
    const oldest = clock.now() - lostAfterMs
    const lost = [...instances.values()].filter((instance) => instance.lastHeartbeatAt < oldest)
    for (const { instance } of lost) instances.delete(instance)
    if (lost.length > 0) entry.write(instances)
    return lost
  }

  function reset (): void {
    instances = new Map()
    entry.write(instances)
  }

  return { handle, leave, tick, reset }
}

function toRegisteredInstance (heartbeat: Heartbeat, now: Milliseconds, inContactSince: Milliseconds): RegisteredInstance {
  const { instance, incarnation, peerAddress, failureDomain, draining, sequence, manifestVersion, directoryVersion, releasedTerms } = heartbeat
  return {
    instance,
    incarnation,
    peerAddress,
    failureDomain,
    draining,
    sequence,
    lastHeartbeatAt: now,
    inContactSince,
    manifestVersion,
    directoryVersion,
    releasedTerms,
    observations: new Map(heartbeat.observations.map(({ database, status, silentForMs }): [DatabaseId, ConnectionHolderObservation] => [database, { status, silentForMs, arrivedAt: now }])),
    heldDatabases: selectHeldDatabases(heartbeat)
  }
}

const DATABASE_RESOURCE_PATTERN = /^(?:slots|connections):(.*)$/s

function selectHeldDatabases (heartbeat: Heartbeat): ReadonlySet<DatabaseId> {
  const databases = new Set<DatabaseId>()
  for (const share of heartbeat.held) {
    const name = DATABASE_RESOURCE_PATTERN.exec(share.resource)?.[1]
    if (name !== undefined && share.amount > 0) databases.add(name as DatabaseId)
  }
  return databases
}

function hasSameAttributes (left: RegisteredInstance, right: RegisteredInstance): boolean {
  return left.peerAddress === right.peerAddress && left.failureDomain === right.failureDomain && left.draining === right.draining
}

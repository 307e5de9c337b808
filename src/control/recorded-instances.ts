import type { Clock, Milliseconds } from '../types/clock.js'
import type { ControlLog } from '../types/control-log.js'
import type { InstanceId } from '../types/ids.js'

/** Time without a heartbeat after which the leader removes an instance from the log, in leases. After two, all its shares have expired. */
const REMOVE_AFTER_LEASES = 2
/** Interval between checks for instances to remove, in ms. */
const CHECK_INTERVAL_MS = 1000

export interface RecordedInstancesOptions {
  clock: Clock
  log: ControlLog
  isEnabled: boolean
  /** Longest time for which the leader counts a share as held, in ms. */
  longestLeaseMs: number
  /** @returns whether this leader receives heartbeats of the instance */
  isRegistered: (instance: InstanceId) => boolean
  /** Called when the log has recorded the instance, which may hold shares from now on. */
  onRecorded: (instance: InstanceId) => void
}

/** Keeps the instances that may hold shares in the control log, for the next leader. */
export interface RecordedInstances {
  /** Proposes to record the instance unless the log lists it. @returns whether the instance may hold shares already */
  ensureRecorded: (instance: InstanceId) => boolean
  /** Removes an instance that holds no shares any more, so that no later leader waits for it. */
  remove: (instance: InstanceId) => void
  /**
   * Removes instances that have sent no heartbeat for long enough.
   * @param leadingSince - start of this leadership
   */
  tick: (leadingSince: Milliseconds) => void
}

/** Creates the list. Without it, a new leader would have to wait for the leases of instances that are unknown to it. */
export function createRecordedInstances ({ clock, log, isEnabled, longestLeaseMs, isRegistered, onRecorded }: RecordedInstancesOptions): RecordedInstances {
  const pending = new Set<InstanceId>()
  const removing = new Set<InstanceId>()
  const missingSince = new Map<InstanceId, Milliseconds>()
  let checkedAt = -Infinity

  function propose (kind: 'record-instance' | 'forget-instance', instance: InstanceId): void {
    if (pending.has(instance)) return
    pending.add(instance)
    if (kind === 'forget-instance') removing.add(instance)
    const clearPending = (): void => {
      pending.delete(instance)
      removing.delete(instance)
    }
    log.propose({ kind, instance }).then((result) => {
      clearPending()
      if (kind === 'record-instance' && result.isOk()) onRecorded(instance)
    }, clearPending)
  }

  function ensureRecorded (instance: InstanceId): boolean {
    if (!isEnabled) return true
    // An instance may restart while its removal is pending. Its new incarnation must be recorded again.
    if (!removing.has(instance) && log.state().instances.includes(instance)) return true
    propose('record-instance', instance)
    return false
  }

  function tick (leadingSince: Milliseconds): void {
    const now = clock.now()
    if (!isEnabled || now - checkedAt < CHECK_INTERVAL_MS) return
    checkedAt = now
    for (const instance of log.state().instances) {
      if (isRegistered(instance)) {
        missingSince.delete(instance)
        continue
      }
      const since = Math.max(missingSince.get(instance) ?? now, leadingSince) as Milliseconds
      missingSince.set(instance, since)
      if (now - since >= longestLeaseMs * REMOVE_AFTER_LEASES) propose('forget-instance', instance)
    }
  }

  function remove (instance: InstanceId): void {
    if (isEnabled && log.state().instances.includes(instance)) propose('forget-instance', instance)
  }

  return { ensureRecorded, remove, tick }
}

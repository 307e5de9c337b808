import { leaderShareLeaseMs } from '../decisions/limits/share-lease.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import type { ControlLog } from '../types/control-log.js'
import type { InstanceId } from '../types/ids.js'

/** A leader forgets instances only once every share that they may hold has run out twice over, in ms. */
const FORGET_AFTER_MS = leaderShareLeaseMs * 2
/** Time between looks for instances to be forgotten, in ms. */
const LOOK_INTERVAL_MS = 1000

export interface RecordedInstancesOptions {
  clock: Clock
  log: ControlLog
  isEnabled: boolean
  /** @returns whether heartbeats of the instance arrive */
  isRegistered: (instance: InstanceId) => boolean
  /** The instance may hold shares from now on. */
  onRecorded: (instance: InstanceId) => void
}

/** Keeps the instances that may hold shares in the control log, for the next leader. */
export interface RecordedInstances {
  /** @returns whether the instance may hold shares; if not yet, it is recorded */
  mayHold: (instance: InstanceId) => boolean
  /** @param leadingSince - start of this leadership */
  tick: (leadingSince: Milliseconds) => void
}

/** Creates the list. Without it, a new leader would have to wait for the leases of instances that it can't know of. */
export function createRecordedInstances ({ clock, log, isEnabled, isRegistered, onRecorded }: RecordedInstancesOptions): RecordedInstances {
  const proposed = new Set<InstanceId>()
  const missingSince = new Map<InstanceId, Milliseconds>()
  let lookedAt = -Infinity

  function propose (kind: 'record-instance' | 'forget-instance', instance: InstanceId): void {
    if (proposed.has(instance)) return
    proposed.add(instance)
    log.propose({ kind, instance }).then((result) => {
      proposed.delete(instance)
      if (kind === 'record-instance' && result.isOk()) onRecorded(instance)
    }, () => { proposed.delete(instance) })
  }

  function mayHold (instance: InstanceId): boolean {
    if (!isEnabled || log.state().instances.includes(instance)) return true
    propose('record-instance', instance)
    return false
  }

  function tick (leadingSince: Milliseconds): void {
    const now = clock.now()
    if (!isEnabled || now - lookedAt < LOOK_INTERVAL_MS) return
    lookedAt = now
    for (const instance of log.state().instances) {
      if (isRegistered(instance)) {
        missingSince.delete(instance)
        continue
      }
      const since = Math.max(missingSince.get(instance) ?? now, leadingSince) as Milliseconds
      missingSince.set(instance, since)
      if (now - since >= FORGET_AFTER_MS) propose('forget-instance', instance)
    }
  }

  return { mayHold, tick }
}

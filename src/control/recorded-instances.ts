import { LEADER_SHARE_LEASE_MS } from '../decisions/limits/share-lease.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import type { ControlLog } from '../types/control-log.js'
import type { InstanceId } from '../types/ids.js'

/** A leader forgets instances only once every share that they may hold has run out twice over, in ms. */
const FORGET_AFTER_MS = LEADER_SHARE_LEASE_MS * 2
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
  /** The instance holds nothing any more, so no later leader has to wait for it. */
  forget: (instance: InstanceId) => void
  /** @param leadingSince - start of this leadership */
  tick: (leadingSince: Milliseconds) => void
}

/** Creates the list. Without it, a new leader would have to wait for the leases of instances that it can't know of. */
export function createRecordedInstances ({ clock, log, isEnabled, isRegistered, onRecorded }: RecordedInstancesOptions): RecordedInstances {
  const proposed = new Set<InstanceId>()
  const forgetting = new Set<InstanceId>()
  const missingSince = new Map<InstanceId, Milliseconds>()
  let lookedAt = -Infinity

  function propose (kind: 'record-instance' | 'forget-instance', instance: InstanceId): void {
    if (proposed.has(instance)) return
    proposed.add(instance)
    if (kind === 'forget-instance') forgetting.add(instance)
    const ended = (): void => {
      proposed.delete(instance)
      forgetting.delete(instance)
    }
    log.propose({ kind, instance }).then((result) => {
      ended()
      if (kind === 'record-instance' && result.isOk()) onRecorded(instance)
    }, ended)
  }

  function mayHold (instance: InstanceId): boolean {
    if (!isEnabled) return true
    // A new run of an instance that is being forgotten must be recorded anew.
    if (!forgetting.has(instance) && log.state().instances.includes(instance)) return true
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

  function forget (instance: InstanceId): void {
    if (isEnabled && log.state().instances.includes(instance)) propose('forget-instance', instance)
  }

  return { mayHold, forget, tick }
}

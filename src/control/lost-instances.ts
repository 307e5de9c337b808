import type { RegisteredInstance } from '../blackboard/control-instance-entries.js'
import type { InstanceId } from '../types/ids.js'

/** Lost instances that reports still list; more than a lost failure domain of 710 instances has. */
const REMEMBERED_LOST_INSTANCES = 256

/** Instances that sent no heartbeat for one lease, kept for reports. */
export interface LostInstances {
  add: (instance: RegisteredInstance) => void
  remove: (instance: InstanceId) => void
  all: () => Iterable<RegisteredInstance>
  reset: () => void
}

/** @returns an empty memory; the instance lost first is forgotten first */
export function createLostInstances (): LostInstances {
  const lost = new Map<InstanceId, RegisteredInstance>()
  return {
    add: (instance) => {
      lost.delete(instance.instance)
      lost.set(instance.instance, instance)
      for (const oldest of lost.keys()) {
        if (lost.size <= REMEMBERED_LOST_INSTANCES) break
        lost.delete(oldest)
      }
    },
    remove: (instance) => { lost.delete(instance) },
    all: () => lost.values(),
    reset: () => lost.clear()
  }
}

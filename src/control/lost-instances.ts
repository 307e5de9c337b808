import type { RegisteredInstance } from '../blackboard/control-instance-entries.js'
import type { InstanceId } from '../types/ids.js'

/** Number of lost instances that reports list; more than one failure domain of a fleet of 710 instances has. */
const MAX_LOST_INSTANCES = 256

/** Keeps instances that sent no heartbeat for one lease, for reports. */
export interface LostInstances {
  add: (instance: RegisteredInstance) => void
  remove: (instance: InstanceId) => void
  all: () => Iterable<RegisteredInstance>
  reset: () => void
}

/** @returns an empty list, which drops the instance that was lost first when it is full */
export function createLostInstances (): LostInstances {
  const lost = new Map<InstanceId, RegisteredInstance>()
  return {
    add: (instance) => {
      lost.delete(instance.instance)
      lost.set(instance.instance, instance)
      for (const oldest of lost.keys()) {
        if (lost.size <= MAX_LOST_INSTANCES) break
        lost.delete(oldest)
      }
    },
    remove: (instance) => { lost.delete(instance) },
    all: () => lost.values(),
    reset: () => lost.clear()
  }
}

import { createWeightedFairQueue } from '../fairness/weighted-fair-queue.js'
import { requestId } from '../../types/ids.js'
import type { RequestQueue, RequestQueueOptions } from './request-queue.js'

/** @returns a weighted fair queue behind the `RequestQueue` interface of the executor */
export function createFairRequestQueue<Item> (options: RequestQueueOptions): RequestQueue<Item> {
  const queue = createWeightedFairQueue<Item>({ clock: options.clock, weightOf: options.weightOf })

  return {
    enqueue: ({ id, workspace, deadline, expectedSlotMs, item }) => queue.enqueue({ id: requestId(id), workspace, deadline, cost: expectedSlotMs, item }).isOk(),
    pop: (canRun) => queue.dequeue((entry) => canRun(entry.item))?.item ?? null,
    cancel: (id) => queue.cancel(requestId(id)) !== null,
    charge: queue.charge,
    drainExpired: () => queue.drainExpired().map((entry) => entry.item),
    estimateWaitMs: (workspace) => queue.estimateWaitMs(workspace, options.slots()),
    size: () => queue.size
  }
}

import type { WorkspaceId } from '../../types/ids.js'
import type { GroupView } from './group-view.js'
import type { CreateRequestQueue, RequestQueue, RequestQueueOptions } from './request-queue.js'
import type { RequestRecord } from './request-table.js'

/** Slot time charged to the workspace in advance for each request: about the time of one short statement. */
export const EXPECTED_SLOT_MS = 1

/**
 * - `primary`: requests that only the primary can run
 * - `replica`: reads that replicas run, or the primary when no replica qualifies
 */
export type Lane = 'primary' | 'replica'

/**
 * The fair queues of a group, one for each lane. A queue offers only the first entries of each workspace. In a single
 * queue, writes that wait for a new primary would therefore block the reads behind them.
 */
export interface QueueLanes extends Pick<RequestQueue<RequestRecord>, 'pop' | 'cancel' | 'drainExpired' | 'size'> {
  /** @returns false when the queue is full for the workspace */
  enqueue: (record: RequestRecord) => boolean
  /** Charges slot time or connection time, in milliseconds, to a workspace. */
  charge: (lane: Lane, workspace: WorkspaceId, usedMs: number) => void
  /** @returns the time after which a retry may find a free slot, in milliseconds; null when it can't be estimated */
  retryAfterMs: (record: RequestRecord) => number | null
}

/** @returns whether the request is a read outside a transaction */
export function isRead (record: RequestRecord): boolean {
  const { operation } = record.request
  return operation.kind === 'statement' && operation.access === 'read'
}

/** @returns the lane that queues the request */
export function laneOf (record: RequestRecord): Lane {
  return isRead(record) && !record.request.primaryOnly ? 'replica' : 'primary'
}

export function createQueueLanes (createQueue: CreateRequestQueue, view: GroupView, options: Omit<RequestQueueOptions, 'slots'>): QueueLanes {
  const primarySlots = (): number => {
    const primary = view.group()?.primary ?? null
    return primary === null ? 0 : view.slots(primary)
  }
  const allSlots = (): number => view.databases().reduce((sum, { database }) => sum + view.slots(database), 0)
  const queues: Record<Lane, RequestQueue<RequestRecord>> = {
    primary: createQueue({ ...options, slots: primarySlots }),
    replica: createQueue({ ...options, slots: () => allSlots() - primarySlots() })
  }
  let laneOrder: readonly [Lane, Lane] = ['primary', 'replica']

  // The lanes compete only for the primary's slots. The lane that was served last comes second, so that neither starves.
  function pop (canRun: (record: RequestRecord) => boolean): RequestRecord | null {
    for (const lane of laneOrder) {
      const record = queues[lane].pop(canRun)
      if (record === null) continue
      laneOrder = lane === 'primary' ? ['replica', 'primary'] : ['primary', 'replica']
      return record
    }
    return null
  }

  function enqueue (record: RequestRecord): boolean {
    const { key, deadline, request: { workspace } } = record
    return queues[laneOf(record)].enqueue({ id: key, workspace, deadline, expectedSlotMs: EXPECTED_SLOT_MS, item: record })
  }

  function retryAfterMs (record: RequestRecord): number | null {
    const waitMs = queues[laneOf(record)].estimateWaitMs(record.request.workspace)
    return Number.isFinite(waitMs) ? Math.ceil(waitMs) : null
  }

  return {
    pop,
    enqueue,
    cancel: (id) => queues.primary.cancel(id) || queues.replica.cancel(id),
    drainExpired: () => [...queues.primary.drainExpired(), ...queues.replica.drainExpired()],
    size: () => queues.primary.size() + queues.replica.size(),
    charge: (lane, workspace, usedMs) => { queues[lane].charge(workspace, usedMs) },
    retryAfterMs
  }
}

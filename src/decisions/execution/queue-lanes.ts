import type { WorkspaceId } from '../../types/ids.js'
import type { GroupView } from './group-view.js'
import type { CreateRequestQueue, RequestQueue, RequestQueueOptions } from './request-queue.js'
import type { RequestRecord } from './request-table.js'

/** Slot time that is charged in advance for each request, in milliseconds: about one short statement. */
export const EXPECTED_SLOT_MS = 1

/** `primary`: only the primary can serve it. `replica`: reads that replicas serve, and the primary if need be. */
export type Lane = 'primary' | 'replica'

/**
 * The fair queues of a group, one for each lane. With a single queue, writes that wait for a new primary would hide
 * the reads behind them, since a queue offers only the first entries of a workspace.
 */
export interface QueueLanes extends Pick<RequestQueue<RequestRecord>, 'pop' | 'cancel' | 'drainExpired' | 'size'> {
  /** @returns false when the queue is full for the workspace */
  enqueue: (record: RequestRecord) => boolean
  /** Charges slot or connection time to a workspace. */
  charge: (lane: Lane, workspace: WorkspaceId, usedMs: number) => void
  /** @returns when a repetition may find a free slot, in milliseconds; null when that can't be told */
  retryAfterMs: (record: RequestRecord) => number | null
}

export function isRead (record: RequestRecord): boolean {
  const { operation } = record.request
  return operation.kind === 'statement' && operation.access === 'read'
}

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

  // The lanes meet only at the primary's slots. They take turns there, so that neither can starve the other.
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

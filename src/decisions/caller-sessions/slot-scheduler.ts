import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Clock } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { DatabaseId, WorkspaceId } from '../../types/ids.js'
import { requestId } from '../../types/ids.js'
import type { ConcurrencyLimit } from '../fairness/concurrency-limit.js'
import { createConcurrencyLimit } from '../fairness/concurrency-limit.js'
import type { PriorityQueue } from '../fairness/priority-queue.js'
import { createPriorityQueue } from '../fairness/priority-queue.js'

/** Priority of statements in open transactions. They come first, since their transactions hold connections and locks. */
const TRANSACTION_PRIORITY = -Infinity
/**
 * Longest wait of a statement in an open transaction, in milliseconds. Then it is sent whatever the limit is: the statements in flight may
 * be waiting for a lock that its transaction holds.
 */
const MAX_TRANSACTION_WAIT_MS = 30
/**
 * Slots above the limit for statements of open transactions, for the same reason, and for operations that are more urgent than one in
 * flight: a quarter of the objective of an urgent operation may be shorter than one statement of another kind.
 */
const RESERVED_SLOTS = 1
/** Stands for a workspace that has no statements in a queue. No workspace has an empty name. */
const NEW_WORKSPACE = '' as WorkspaceId
/** Slot time of a statement in milliseconds before the first one was measured. */
const INITIAL_COST_MS = 10
/** Weight of a new slot time in the mean of its priority. */
const COST_WEIGHT = 0.1

/**
 * How the use of a slot ended.
 * - `answered`: the database answered
 * - `busy`: the database had no room
 * - `unjudged`: the statement was not sent, or lost
 */
export type SlotOutcome = 'answered' | 'busy' | 'unjudged'

/** A slot of a database, for one statement at a time. */
export interface Slot {
  /** Wait for the slot in milliseconds. */
  waitMs: number
  /** Frees the slot. A second call does nothing. @param databaseMs - response time of the database; null when there was none */
  free: (outcome: SlotOutcome, databaseMs: number | null) => void
}

/** A request for a slot by an operation that has not begun. */
export interface SlotRequest {
  workspace: WorkspaceId
  priority: number
  /** Longest wait in milliseconds. */
  limitMs: number
  /** @returns whether the statement could be sent if it had a slot; false while its workspace has no connection */
  canRun: () => boolean
}

/** State of the queue of one database. */
export interface SlotQueueState {
  waiting: number
  waitingByPriority: ReadonlyMap<number, number>
  inFlight: number
  limit: number
}

/**
 * Why an operation got no slot.
 * - `expected-wait`: refused at once, since its expected wait was longer than its limit
 * - `waited`: its limit passed
 * - `no-connection`: its limit passed, and its workspace had no connection
 */
export type SlotRefusalCause = 'expected-wait' | 'waited' | 'no-connection'

export interface SlotSchedulerOptions {
  clock: Clock
  /** @returns slots of the database, and number of lenders that share them */
  capacity: (database: DatabaseId) => { slots: number, lenders: number }
  after: (durationMs: number, callback: () => void) => () => void
  /** Called with each operation that got no slot. Default: ignored. */
  onRefused?: (database: DatabaseId, cause: SlotRefusalCause) => void
}

/** Orders the statements that this lender sends to each database. It handles loads above the capacity of a database, by kind or by workspace. */
export interface SlotScheduler {
  /** Waits for a slot. @returns the expected wait in milliseconds when it is longer than the limit, or the limit has passed */
  acquire: (database: DatabaseId, request: SlotRequest) => Promise<Result<Slot, number>>
  /** Waits a short time for a slot for a statement in an open transaction, which is ordered and never refused. */
  acquireInTransaction: (database: DatabaseId, workspace: WorkspaceId) => Promise<Slot>
  /** @param workspace - null for one that has no statements there @returns expected wait of a new operation in milliseconds */
  expectedWaitMs: (database: DatabaseId, workspace: WorkspaceId | null, priority: number) => number
  /** Starts statements that can run now. Called when a connection became free. */
  start: (database: DatabaseId) => void
  /** @returns the state of each database that this lender has sent statements to */
  states: () => ReadonlyMap<DatabaseId, SlotQueueState>
  state: (database: DatabaseId) => SlotQueueState | null
  keepOnly: (databases: ReadonlySet<DatabaseId>) => void
}

interface Waiting {
  canRun: () => boolean
  priority: number
  start: () => void
}

interface DatabaseSlots {
  queue: PriorityQueue<Waiting>
  limit: ConcurrencyLimit
  inFlight: number
  /** Number of statements in flight by priority. */
  inFlightByPriority: Map<number, number>
  /** Mean slot time of each priority in milliseconds. */
  costs: Map<number, number>
}

/** Creates the scheduler. */
export function createSlotScheduler ({ clock, capacity, after, onRefused = () => {} }: SlotSchedulerOptions): SlotScheduler {
  const slotsByDatabase = new Map<DatabaseId, DatabaseSlots>()
  let lastNumber = 0

  function findOrCreate (database: DatabaseId): DatabaseSlots {
    const known = slotsByDatabase.get(database)
    if (known !== undefined) return known
    const limit = createConcurrencyLimit({ clock, minimum: () => Math.floor(capacity(database).slots / Math.max(1, capacity(database).lenders)), maximum: () => capacity(database).slots })
    const slots: DatabaseSlots = { queue: createPriorityQueue(clock), limit, inFlight: 0, inFlightByPriority: new Map(), costs: new Map() }
    slotsByDatabase.set(database, slots)
    return slots
  }

  const costOf = (slots: DatabaseSlots, priority: number): number => slots.costs.get(priority) ?? INITIAL_COST_MS

  function meanCostInFlight (slots: DatabaseSlots): number {
    const costs = [...slots.inFlightByPriority].map(([priority, count]) => count * costOf(slots, priority))
    return costs.reduce((sum, cost) => sum + cost, 0) / slots.inFlight
  }

  function estimateWaitMs (slots: DatabaseSlots, workspace: WorkspaceId | null, priority: number): number {
    const limit = slots.limit.current()
    const usableSlots = limit + (isMoreUrgentThanOneInFlight(slots, priority) ? RESERVED_SLOTS : 0)
    const missingSlots = Math.max(0, slots.inFlight + 1 - usableSlots)
    if (missingSlots === 0 && slots.queue.size === 0) return 0
    // The statements in flight end one after another, on average evenly over the slot time of one.
    const untilFreeMs = missingSlots === 0 ? 0 : meanCostInFlight(slots) * missingSlots / slots.inFlight
    return untilFreeMs + slots.queue.estimateWaitMs(priority, workspace ?? NEW_WORKSPACE, limit)
  }

  function isMoreUrgentThanOneInFlight ({ inFlightByPriority }: DatabaseSlots, priority: number): boolean {
    return [...inFlightByPriority].some(([other, count]) => count > 0 && other > priority)
  }

  function mayStart (slots: DatabaseSlots, priority: number): boolean {
    const limit = slots.limit.current()
    if (slots.inFlight < limit) return true
    return slots.inFlight < limit + RESERVED_SLOTS && (priority === TRANSACTION_PRIORITY || isMoreUrgentThanOneInFlight(slots, priority))
  }

  function countInFlight (slots: DatabaseSlots, priority: number, change: 1 | -1): void {
    slots.inFlight += change
    slots.inFlightByPriority.set(priority, (slots.inFlightByPriority.get(priority) ?? 0) + change)
  }

  function occupy (slots: DatabaseSlots, workspace: WorkspaceId, priority: number, expectedCost: number, requestedAt: number): Slot {
    const startedAt = clock.now()
    let isFree = false
    countInFlight(slots, priority, 1)

    function free (outcome: SlotOutcome, databaseMs: number | null): void {
      if (isFree) return
      isFree = true
      countInFlight(slots, priority, -1)
      const usedMs = clock.now() - startedAt
      slots.queue.charge(priority, workspace, usedMs - expectedCost)
      if (outcome === 'busy') slots.limit.recordBusy()
      if (outcome === 'answered') {
        slots.costs.set(priority, costOf(slots, priority) + (usedMs - costOf(slots, priority)) * COST_WEIGHT)
        if (databaseMs !== null) slots.limit.recordAnswer(String(priority), databaseMs, slots.queue.size > 0)
      }
      startWaiting(slots)
    }

    return { waitMs: startedAt - requestedAt, free }
  }

  function startWaiting (slots: DatabaseSlots): void {
    while (slots.queue.size > 0) {
      if (slots.inFlight >= slots.limit.current() + RESERVED_SLOTS) return
      const next = slots.queue.dequeue(({ item }) => mayStart(slots, item.priority) && item.canRun())
      if (next === null) return
      next.item.start()
    }
  }

  function enqueue (slots: DatabaseSlots, workspace: WorkspaceId, priority: number, limitMs: number, canRun: () => boolean, isInTransaction: boolean): Promise<Slot | null> {
    const requestedAt = clock.now()
    const cost = costOf(slots, priority)
    return new Promise((resolve) => {
      const id = requestId(`q${++lastNumber}`)
      const start = (): void => {
        cancelTimer()
        resolve(occupy(slots, workspace, priority, cost, requestedAt))
      }
      const item: Waiting = { canRun, priority, start }
      const cancelTimer = after(limitMs, () => {
        slots.queue.cancel(priority, id)
        if (isInTransaction) start()
        else resolve(null)
        startWaiting(slots)
      })
      // The timer ends the wait; the deadline lies after it, so that the queue passes over no entry before.
      const queued = slots.queue.enqueue(priority, { id, workspace, deadline: addTime(requestedAt, limitMs + 1), cost, item })
      if (queued.isOk()) return startWaiting(slots)
      cancelTimer()
      if (isInTransaction) start()
      else resolve(null)
    })
  }

  async function acquire (database: DatabaseId, { workspace, priority, limitMs, canRun }: SlotRequest): Promise<Result<Slot, number>> {
    const slots = findOrCreate(database)
    const expectedWaitMs = estimateWaitMs(slots, workspace, priority)
    if (expectedWaitMs > limitMs) {
      onRefused(database, 'expected-wait')
      return err(expectedWaitMs)
    }
    const slot = await enqueue(slots, workspace, priority, limitMs, canRun, false)
    if (slot !== null) return ok(slot)
    onRefused(database, canRun() ? 'waited' : 'no-connection')
    return err(Math.max(limitMs, estimateWaitMs(slots, workspace, priority)))
  }

  async function acquireInTransaction (database: DatabaseId, workspace: WorkspaceId): Promise<Slot> {
    return await enqueue(findOrCreate(database), workspace, TRANSACTION_PRIORITY, MAX_TRANSACTION_WAIT_MS, () => true, true) as Slot
  }

  function describe (slots: DatabaseSlots): SlotQueueState {
    return { waiting: slots.queue.size, waitingByPriority: slots.queue.sizes(), inFlight: slots.inFlight, limit: slots.limit.current() }
  }

  return {
    acquire,
    acquireInTransaction,
    expectedWaitMs: (database, workspace, priority) => {
      const slots = slotsByDatabase.get(database)
      return slots === undefined ? 0 : estimateWaitMs(slots, workspace, priority)
    },
    start: (database) => {
      const slots = slotsByDatabase.get(database)
      if (slots !== undefined) startWaiting(slots)
    },
    states: () => new Map([...slotsByDatabase].map(([database, slots]) => [database, describe(slots)])),
    state: (database) => {
      const slots = slotsByDatabase.get(database)
      return slots === undefined ? null : describe(slots)
    },
    keepOnly: (databases) => {
      for (const [database, slots] of slotsByDatabase) if (!databases.has(database) && slots.inFlight === 0 && slots.queue.size === 0) slotsByDatabase.delete(database)
    }
  }
}

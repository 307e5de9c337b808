import { createHash } from 'node:crypto'
import type { DatabaseOperation } from '../../types/database-operation.js'
import type { Refusal } from '../../types/outcome.js'
import type { Execute } from '../../types/peer-message.js'
import { refuse } from '../../types/result-code.js'
import type { ExecutorParts } from './executor-parts.js'
import type { Placement, Placer } from './placement.js'
import type { RequestRecord } from './request-table.js'

/** Puts requests into the fair queue and starts them when a slot and a connection are free. */
export interface QueueDispatcher {
  /** Queues a request that passed the checks on arrival. */
  enqueue: (record: RequestRecord) => void
  /** @returns why the instance may not run the request now, or null */
  findRefusal: (request: Execute) => Refusal | null
  /** Starts what can start, and refuses what may not run any more. */
  dispatch: () => void
  /** Refuses queued requests whose deadline has passed. */
  expire: () => void
}

/** Identifies the content of a request that carries an idempotency key. */
function computeRequestDigest (request: Execute): string {
  if (request.idempotencyKey === null) return ''
  const { operation } = request
  const content = operation.kind === 'statement' ? [operation.statement, operation.values] : [operation.kind]
  return createHash('sha256').update(JSON.stringify(content)).digest('hex')
}

function buildDatabaseOperation (record: RequestRecord, term: number): DatabaseOperation {
  const { workspace, operation, idempotencyKey } = record.request
  const requestDigest = computeRequestDigest(record.request)
  if (operation.kind !== 'statement') return { kind: 'begin', workspace, term, idempotencyKey, requestDigest }
  const { statement, values } = operation
  if (operation.access === 'read') return { kind: 'read', workspace, statement, values }
  return { kind: 'write', workspace, term, statement, values, idempotencyKey, requestDigest }
}

export function createQueueDispatcher (parts: ExecutorParts, placer: Placer): QueueDispatcher {
  const { options, view, keys, requests, queue, slots, runner, pool } = parts
  let checkedManifest = view.manifest()

  /** Applies to every request of the group alike. */
  function findInstanceRefusal (): Refusal | null {
    if (!view.isFresh()) return refuse('notFresh', 'not-run', 'the instance has no valid freshness lease')
    if (!view.isHolder()) return refuse('noHolder', 'not-run', 'the instance is not a holder of the group')
    return null
  }

  function findRefusal (request: Execute): Refusal | null {
    const refusal = findInstanceRefusal()
    if (refusal !== null) return refusal
    return keys.canRun(request) ? null : refuse('keyRefused', 'not-run', 'the key is not one of the workspace in this group')
  }

  function enqueue (record: RequestRecord): void {
    if (record.deadline <= options.clock.now()) requests.end(record, refuse('deadlineExceeded', 'not-run', 'the deadline passed before the request arrived'))
    else if (!queue.enqueue(record)) requests.end(record, refuse('queueFull', 'not-run', 'the queue of the group is full', queue.retryAfterMs(record)))
  }

  function refuseQueued (matches: (record: RequestRecord) => boolean, refusal: (record: RequestRecord) => Refusal): void {
    for (let record = queue.pop(matches); record !== null; record = queue.pop(matches)) requests.end(record, refusal(record))
  }

  // Withdrawn keys are refused at once and not only when their requests come up.
  function refuseWithdrawnKeys (): void {
    if (checkedManifest === view.manifest()) return
    checkedManifest = view.manifest()
    refuseQueued((record) => !keys.canRun(record.request), () => refuse('keyRefused', 'not-run', 'the key was withdrawn'))
  }

  function start (record: RequestRecord, placement: Placement): void {
    const refusal = findRefusal(record.request)
    if (refusal !== null) {
      requests.end(record, refusal)
      return
    }
    const connection = pool.acquire(placement.database, placement.mode, placement.incarnation)
    if (connection === null) throw new Error(`no idle connection to ${placement.database} although one was found`)
    runner.start(connection, record, buildDatabaseOperation(record, placement.term), placement.term)
    placer.invalidateCandidates()
  }

  function popNext (): { record: RequestRecord, placement: Placement | null } | null {
    const found: { placement: Placement | null } = { placement: null }
    const record = queue.pop((waiting) => {
      if (options.clock.now() >= waiting.deadline) return true
      found.placement = placer.place(waiting)
      return found.placement !== null
    })
    return record === null ? null : { record, placement: found.placement }
  }

  function hasFreeSlot (): boolean {
    return view.databases().some(({ database }) => slots.countFree(database) > 0)
  }

  function dispatch (): void {
    placer.reset()
    const refusal = findInstanceRefusal()
    if (refusal !== null) {
      refuseQueued(() => true, () => refusal)
      return
    }
    refuseWithdrawnKeys()
    while (queue.size() > 0 && hasFreeSlot()) {
      const next = popNext()
      if (next === null) return
      if (next.placement === null) requests.end(next.record, placer.buildDeadlineRefusal(next.record))
      else start(next.record, next.placement)
    }
  }

  function expire (): void {
    placer.reset()
    for (const record of queue.drainExpired()) requests.end(record, placer.buildDeadlineRefusal(record))
  }

  return { enqueue, findRefusal, dispatch, expire }
}

import { createHash } from 'node:crypto'
import type { DatabaseOperation } from '../../types/database-operation.js'
import type { Refusal } from '../../types/outcome.js'
import type { Execute } from '../../types/peer-message.js'
import { buildRefusal } from '../../types/result-code.js'
import type { ExecutorParts } from './executor-parts.js'
import type { Placement, RequestPlacer } from './placement.js'
import type { RequestRecord } from './request-table.js'

/** Queues requests fairly by workspace and starts each when a slot and a connection are free. */
export interface QueueDispatcher {
  /**
   * Queues a request for which `findRefusal` returned null. Refuses it at once when its deadline has passed or the queue is
   * full.
   */
  enqueue: (record: RequestRecord) => void
  /** @returns the refusal when this instance may not run the request now, otherwise null */
  findRefusal: (request: Execute) => Refusal | null
  /** Starts the queued requests that can run now, and refuses those that this instance may no longer run. */
  dispatch: () => void
  /** Refuses queued requests whose deadline has passed. */
  expire: () => void
}

/**
 * @returns a digest of the request's statement and values, empty without an idempotency key. The database compares digests to
 * detect that a key is reused for other content.
 */
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

export function createQueueDispatcher (parts: ExecutorParts, placer: RequestPlacer): QueueDispatcher {
  const { options, view, keys, requests, queue, slots, runner, pool } = parts
  let checkedManifest = view.manifest()

  /** @returns the refusal that applies to all requests of the group, or null */
  function findInstanceRefusal (): Refusal | null {
    if (!view.isFresh()) return buildRefusal('notFresh', 'not-run', 'the instance has no valid freshness lease')
    if (!view.isHolder()) return buildRefusal('noHolder', 'not-run', 'the instance is not a connection holder of the group')
    return null
  }

  function findRefusal (request: Execute): Refusal | null {
    const refusal = findInstanceRefusal()
    if (refusal !== null) return refusal
    return keys.canRun(request) ? null : buildRefusal('keyRefused', 'not-run', 'the manifest does not allow the key for the workspace in this group')
  }

  function enqueue (record: RequestRecord): void {
    if (record.deadline <= options.clock.now()) requests.end(record, buildRefusal('deadlineExceeded', 'not-run', 'the deadline passed before the request arrived'))
    else if (!queue.enqueue(record)) requests.end(record, buildRefusal('queueFull', 'not-run', 'the queue of the group is full', queue.retryAfterMs(record)))
  }

  function refuseQueued (matches: (record: RequestRecord) => boolean, refusal: (record: RequestRecord) => Refusal): void {
    for (let record = queue.pop(matches); record !== null; record = queue.pop(matches)) requests.end(record, refusal(record))
  }

  // Refuses requests with a withdrawn key as soon as the manifest changes, not only at the head of the queue.
  function refuseWithdrawnKeys (): void {
    if (checkedManifest === view.manifest()) return
    checkedManifest = view.manifest()
    refuseQueued((record) => !keys.canRun(record.request), () => buildRefusal('keyRefused', 'not-run', 'the key was withdrawn'))
  }

  function start (record: RequestRecord, placement: Placement): void {
    const refusal = findRefusal(record.request)
    if (refusal !== null) {
      requests.end(record, refusal)
      return
    }
    const connection = pool.acquire(placement.database, placement.mode, placement.incarnation)
    if (connection === null) throw new Error(`no idle connection to ${placement.database} although the placement found one`)
    runner.start(connection, record, buildDatabaseOperation(record, placement.term), placement.term)
    placer.invalidateCandidates()
  }

  /** @returns the next request that can run, or one whose deadline has passed and whose placement is null; null if there is none */
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

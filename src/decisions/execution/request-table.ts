import { addTime, type Clock, type Milliseconds } from '../../types/clock.js'
import type { ExecutorEffect, RequesterName } from '../../types/executor-message.js'
import type { RequestId } from '../../types/ids.js'
import type { Outcome } from '../../types/outcome.js'
import type { Execute } from '../../types/peer-message.js'

/**
 * - `queued`: the request waits in the fair queue
 * - `waiting-for-slot`: the request is an operation of an open transaction and waits for a slot
 * - `running`: its operation is in flight to a database
 * - `awaiting-majority`: the primary has committed the write; a majority of the group has not confirmed it yet
 */
export type RequestStage = 'queued' | 'waiting-for-slot' | 'running' | 'awaiting-majority'

/** A request that has no answer yet. */
export interface RequestRecord {
  /** Identifies the request among those of all requesters. */
  readonly key: string
  readonly from: RequesterName
  readonly request: Execute
  readonly arrivedAt: Milliseconds
  readonly deadline: Milliseconds
  stage: RequestStage
}

/** Requests that have no answer yet. Sends exactly one answer to each. */
export interface RequestTable {
  /** Adds a request. @returns its record; null when a request of this requester with the same id is pending */
  add: (from: RequesterName, request: Execute) => RequestRecord | null
  /** Answers a request. A second call for the same request has no effect. */
  end: (record: RequestRecord, outcome: Outcome) => void
  find: (from: RequesterName, id: RequestId) => RequestRecord | null
  listByRequester: (from: RequesterName) => RequestRecord[]
  all: () => RequestRecord[]
  size: () => number
}

// The length prefix keeps keys of different requesters distinct, whatever characters their names contain.
const buildKey = (from: RequesterName, id: RequestId): string => `${from.length}:${from}${id}`

export function createRequestTable (clock: Clock, emit: (effect: ExecutorEffect) => void): RequestTable {
  const records = new Map<string, RequestRecord>()

  function add (from: RequesterName, request: Execute): RequestRecord | null {
    const key = buildKey(from, request.requestId)
    if (records.has(key)) return null
    const now = clock.now()
    const record: RequestRecord = { key, from, request, arrivedAt: now, deadline: addTime(now, request.remainingMs), stage: 'queued' }
    records.set(key, record)
    return record
  }

  function end (record: RequestRecord, outcome: Outcome): void {
    if (records.get(record.key) !== record) return
    records.delete(record.key)
    emit({ kind: 'answer', to: record.from, answer: { version: 1, kind: 'answer', requestId: record.request.requestId, outcome } })
  }

  return {
    add,
    end,
    find: (from, id) => records.get(buildKey(from, id)) ?? null,
    listByRequester: (from) => [...records.values()].filter((record) => record.from === from),
    all: () => [...records.values()],
    size: () => records.size
  }
}

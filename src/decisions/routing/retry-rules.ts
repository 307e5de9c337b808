import type { Refusal } from '../../types/outcome.js'
import type { Execute } from '../../types/peer-message.js'
import { resultCodes, type ResultCode, type ResultName } from '../../types/result-code.js'

const RESULTS_RETRIED_WHEN_NOT_RUN: readonly ResultName[] = ['noHolder', 'notFresh', 'noPrimary', 'databaseRefused', 'noDatabase', 'shuttingDown']
const RESULTS_RETRIED_WHEN_UNKNOWN: readonly ResultName[] = ['outcomeUnknown', 'notDurable']

const toCodes = (names: readonly ResultName[]): ReadonlySet<ResultCode> => new Set(names.map((name) => resultCodes[name].code))

const codesRetriedWhenNotRun = toCodes(RESULTS_RETRIED_WHEN_NOT_RUN)
const codesRetriedWhenUnknown = toCodes(RESULTS_RETRIED_WHEN_UNKNOWN)

/**
 * - `never`: the outcome is final
 * - `free`: the request never reached a database, so a retry adds no load there
 * - `budgeted`: the request may have run and can be repeated without harm
 */
export type RetryKind = 'never' | 'free' | 'budgeted'

/** @returns whether a request whose outcome is unknown may be sent again */
export function canRetryUnknown (request: Execute): boolean {
  if (request.nonIdempotent) return false
  const { operation } = request
  // A transaction that nobody was told of is rolled back by its holder, so beginning another one repeats nothing.
  if (operation.kind === 'begin') return true
  if (operation.kind !== 'statement') return false
  return operation.access === 'read' || request.idempotencyKey !== null
}

/** @returns whether the request belongs to an open transaction */
export function isTransactionOperation (request: Execute): boolean {
  return request.operation.kind !== 'statement' && request.operation.kind !== 'begin'
}

/** @returns whether a refused request may be sent again */
export function classifyRetry (request: Execute, refusal: Refusal): RetryKind {
  // A transaction exists at one holder only, and its caller must learn of each failure.
  if (isTransactionOperation(request)) return 'never'
  if (refusal.outcome === 'not-run') return codesRetriedWhenNotRun.has(refusal.code) ? 'free' : 'never'
  if (refusal.outcome === 'unknown' && codesRetriedWhenUnknown.has(refusal.code) && canRetryUnknown(request)) return 'budgeted'
  return 'never'
}

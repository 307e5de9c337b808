import type { Refusal } from '../../types/outcome.js'
import type { Execute } from '../../types/peer-message.js'
import { resultCodes, type ResultCode, type ResultName } from '../../types/result-code.js'

const RESULTS_RETRIED_WHEN_NOT_RUN: readonly ResultName[] = ['noHolder', 'notFresh', 'noPrimary', 'databaseRefused', 'noDatabase', 'shuttingDown']
const RESULTS_RETRIED_WHEN_UNKNOWN: readonly ResultName[] = ['outcomeUnknown', 'notDurable']

const toCodes = (names: readonly ResultName[]): ReadonlySet<ResultCode> => new Set(names.map((name) => resultCodes[name].code))

const codesRetriedWhenNotRun = toCodes(RESULTS_RETRIED_WHEN_NOT_RUN)
const codesRetriedWhenUnknown = toCodes(RESULTS_RETRIED_WHEN_UNKNOWN)

/**
 * - `never`: the refusal is final
 * - `free`: no database ran the request, so a retry repeats no work and needs no retry budget
 * - `budgeted`: the request may have run and is safe to repeat; the retry takes one from the retry budget
 */
export type RetryKind = 'never' | 'free' | 'budgeted'

/** @returns whether a request may be retried although an earlier attempt may have run */
export function canRetryUnknown (request: Execute): boolean {
  if (request.nonIdempotent) return false
  const { operation } = request
  // A connection holder aborts a transaction whose id reached no caller, so beginning another one repeats no work.
  if (operation.kind === 'begin') return true
  if (operation.kind !== 'statement') return false
  return operation.access === 'read' || request.idempotencyKey !== null
}

/** @returns whether the request belongs to an open transaction */
export function isTransactionOperation (request: Execute): boolean {
  return request.operation.kind !== 'statement' && request.operation.kind !== 'begin'
}

/** @returns whether a refused request may be retried, and whether that takes from the retry budget */
export function classifyRetry (request: Execute, refusal: Refusal): RetryKind {
  // A transaction exists at one connection holder only, and its caller has to know of each failed operation.
  if (isTransactionOperation(request)) return 'never'
  if (refusal.outcome === 'not-run') return codesRetriedWhenNotRun.has(refusal.code) ? 'free' : 'never'
  if (refusal.outcome === 'unknown' && codesRetriedWhenUnknown.has(refusal.code) && canRetryUnknown(request)) return 'budgeted'
  return 'never'
}

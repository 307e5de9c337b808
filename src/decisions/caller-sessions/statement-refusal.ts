import type { DatabaseErrorKind } from '../../types/database-session.js'
import type { SessionRefusal } from '../../types/session-statement.js'
import { buildRefusalPromisingNothingKept } from './session-services.js'

/** Retry delay sent to callers whose operation found no database or lost it: about the time of one attempt at each other database. */
export const RETRY_AFTER_MS = 100

/** @returns whether the error means that the statement has not run, so that another database may run it */
export function hasNotRun (error: DatabaseErrorKind): boolean {
  return error !== 'failed' && error !== 'timed-out' && error !== 'answer-too-large' && error !== 'malformed' && error !== 'unrecognized'
}

/**
 * Translates the error of a database into a refusal for the caller.
 * @param canCommitWrite - whether the statement would have committed a write if it ran: a single write, or the commit of a transaction
 *   that wrote
 */
export function buildReplyRefusal (error: DatabaseErrorKind, message: string, canCommitWrite: boolean): SessionRefusal {
  switch (error) {
    case 'failed': return { result: 'databaseError', promise: 'ran', message, retryAfterMs: RETRY_AFTER_MS }
    case 'timed-out': return { result: 'deadlineExceeded', promise: 'unknown', message, retryAfterMs: RETRY_AFTER_MS }
    case 'answer-too-large': return { result: 'databaseError', promise: 'ran', message, retryAfterMs: null }
    case 'malformed': return { result: 'malformedRequest', promise: 'rejected', message, retryAfterMs: null }
    case 'lagging': return buildRefusalPromisingNothingKept('noFreshReplica', message, RETRY_AFTER_MS)
    case 'read-only': return buildRefusalPromisingNothingKept('databaseRefused', message, RETRY_AFTER_MS)
    case 'unrecognized': return buildLossRefusal(message, canCommitWrite)
    default: return buildRefusalPromisingNothingKept('noDatabase', message, RETRY_AFTER_MS)
  }
}

/**
 * Builds the refusal of a statement that was sent and not answered.
 * @param canCommitWrite - whether the statement would have committed a write if it ran; its outcome is then unknown
 */
export function buildLossRefusal (message: string, canCommitWrite: boolean): SessionRefusal {
  if (canCommitWrite) return { result: 'outcomeUnknown', promise: 'unknown', message, retryAfterMs: null }
  return buildRefusalPromisingNothingKept('transactionAborted', message, RETRY_AFTER_MS)
}

import type { DatabaseErrorKind } from '../../types/database-session.js'
import type { SessionRefusal } from '../../types/session-statement.js'
import { refuseOperation } from './session-services.js'

/** Time to repeat an operation that found no database or lost its own, in milliseconds: about a round of tries elsewhere. */
export const RETRY_AFTER_MS = 100

/** @returns whether the database told that the statement has not run, so that it may be sent elsewhere */
export function hasNotRun (error: DatabaseErrorKind): boolean {
  return error !== 'failed' && error !== 'timed-out' && error !== 'malformed' && error !== 'unrecognized'
}

/**
 * Translates the error of a database for the caller.
 * @param mayBeKept - whether the statement would be kept if it ran: a single write, or the commit of a transaction that wrote
 */
export function refusalOfReply (error: DatabaseErrorKind, message: string, mayBeKept: boolean): SessionRefusal {
  switch (error) {
    case 'failed': return { result: 'databaseError', promise: 'ran', message, retryAfterMs: RETRY_AFTER_MS }
    case 'timed-out': return { result: 'deadlineExceeded', promise: 'unknown', message, retryAfterMs: RETRY_AFTER_MS }
    case 'malformed': return { result: 'malformedRequest', promise: 'rejected', message, retryAfterMs: null }
    case 'lagging': return refuseOperation('noFreshReplica', message, RETRY_AFTER_MS)
    case 'read-only': return refuseOperation('databaseRefused', message, RETRY_AFTER_MS)
    case 'unrecognized': return refusalOfLoss(message, mayBeKept)
    default: return refuseOperation('noDatabase', message, RETRY_AFTER_MS)
  }
}

/** @returns the refusal for a statement that was sent and not answered */
export function refusalOfLoss (message: string, mayBeKept: boolean): SessionRefusal {
  if (mayBeKept) return { result: 'outcomeUnknown', promise: 'unknown', message, retryAfterMs: null }
  return refuseOperation('transactionAborted', message, RETRY_AFTER_MS)
}

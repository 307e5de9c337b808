import type { ResultName } from '../../types/result-code.js'

/**
 * How a refusal counts against the availability of a workspace.
 * - `rightful`: good; the request itself was at fault
 * - `rightful-above-rate`: good only if the workspace exceeded its rate and burst
 * - `bad`: the system did not serve a request that it should have served
 * - `not-counted`: not an answer to a caller's request
 */
export type Judgement = 'rightful' | 'rightful-above-rate' | 'bad' | 'not-counted'

export interface JudgementEntry {
  readonly judgement: Judgement
  readonly reason: string
}

/** How each refusal counts against the availability of a workspace. */
export const refusalJudgements = {
  malformedRequest: { judgement: 'rightful', reason: 'The request cannot be parsed.' },
  unknownEndpoint: { judgement: 'rightful', reason: 'The manifest declares no such endpoint.' },
  unknownStatement: { judgement: 'rightful', reason: 'The session prepared no such statement.' },
  bodyTooLarge: { judgement: 'rightful', reason: 'The request is above the documented limit.' },
  headersTooLarge: { judgement: 'rightful', reason: 'The request is above the limit of the server.' },
  requestIncomplete: { judgement: 'rightful', reason: 'The caller did not send the whole request.' },
  methodNotAllowed: { judgement: 'rightful', reason: 'The path does not support the method.' },
  unknownPath: { judgement: 'rightful', reason: 'The interface has no such path.' },
  keyMissing: { judgement: 'rightful', reason: 'The request carries no key.' },
  keyRefused: { judgement: 'rightful', reason: 'The key does not grant access to the workspace.' },
  statementNotAllowed: { judgement: 'rightful', reason: 'The statement is outside the documented set.' },
  unknownTransaction: { judgement: 'rightful', reason: 'If the system lost the transaction, the answer that reported the loss counts instead.' },
  transactionBusy: { judgement: 'rightful', reason: 'The caller sent two statements of one transaction at once.' },
  deadlineExceeded: { judgement: 'bad', reason: 'The system did not complete the request within its deadline.' },
  unknownRoute: { judgement: 'rightful', reason: 'The manifest declares no such route.' },
  sessionTokenInvalid: { judgement: 'rightful', reason: 'The caller changed the token or sent one of another group.' },
  idempotencyKeyReused: { judgement: 'rightful', reason: 'The caller used one idempotency key for two requests.' },
  headerInvalid: { judgement: 'rightful', reason: 'The request cannot be parsed.' },

  rateExceeded: { judgement: 'rightful-above-rate', reason: 'A workspace within its rate must be served, however its requests are distributed over instances.' },
  queueFull: { judgement: 'rightful-above-rate', reason: 'Only requests above the rate may fill a queue.' },
  overloaded: { judgement: 'bad', reason: 'The databases lacked capacity for an operation within the rate of its workspace.' },
  tooManyTransactions: { judgement: 'bad', reason: 'The manifest sets no separate limit for transactions.' },
  sessionMemoryExceeded: { judgement: 'bad', reason: 'The memory for sessions is shared, and other sessions may have filled it.' },
  retryBudgetExhausted: { judgement: 'bad', reason: 'The failures that used up the budget occurred behind the entry instance.' },

  databaseError: { judgement: 'rightful', reason: 'The database executed the statement and rejected it.' },
  noPrimary: { judgement: 'bad', reason: 'The group did not serve writes. Failover gaps count here.' },
  noDatabase: { judgement: 'bad', reason: 'The group did not serve reads.' },
  outcomeUnknown: { judgement: 'bad', reason: 'The caller does not know whether its write took effect.' },
  notDurable: { judgement: 'bad', reason: 'The caller does not know whether its write is durable.' },
  databaseRefused: { judgement: 'bad', reason: 'The request arrived during a change of primary.' },
  transactionAborted: { judgement: 'bad', reason: 'The system or a database aborted a transaction that its caller had not ended.' },
  noFreshReplica: { judgement: 'bad', reason: 'Replication or placement did not keep up with the session.' },

  notFresh: { judgement: 'bad', reason: 'The instance could not reach the control leader.' },
  shuttingDown: { judgement: 'bad', reason: 'A graceful shutdown must refuse no request.' },
  noHolder: { judgement: 'bad', reason: 'No instance could take over the request.' },
  internalError: { judgement: 'bad', reason: 'The system failed.' },

  notLeader: { judgement: 'not-counted', reason: 'Answers operators.' },
  manifestInvalid: { judgement: 'not-counted', reason: 'Answers operators.' },
  manifestConflict: { judgement: 'not-counted', reason: 'Answers operators.' },
  commitUnknown: { judgement: 'not-counted', reason: 'Answers operators.' },
  operatorRefused: { judgement: 'not-counted', reason: 'Answers operators.' },
  announcementRefused: { judgement: 'not-counted', reason: 'Answers databases.' },
  settingsInvalid: { judgement: 'not-counted', reason: 'Ends a process at its start.' },
  dataFolderUnusable: { judgement: 'not-counted', reason: 'Ends a process at its start.' },
  logDamaged: { judgement: 'not-counted', reason: 'Ends a process at its start.' },
  listenFailed: { judgement: 'not-counted', reason: 'Ends a process at its start.' }
} as const satisfies Record<ResultName, JudgementEntry>

/**
 * Judges one request for the availability of its workspace.
 * @param refusal - null for a success
 * @param withinRate - whether the workspace was within its rate and burst
 * @returns whether the request counts as good; null if it does not count
 */
export function isGoodRequest (refusal: ResultName | null, withinRate: boolean): boolean | null {
  if (refusal === null) return true
  const { judgement } = refusalJudgements[refusal]
  if (judgement === 'not-counted') return null
  if (judgement === 'rightful-above-rate') return !withinRate
  return judgement === 'rightful'
}

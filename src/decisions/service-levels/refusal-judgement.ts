import type { ResultName } from '../../types/result-code.js'

/**
 * How a refusal counts against the availability of a workspace.
 * - `rightful`: good; the request itself was at fault
 * - `rightful-above-rate`: good only if the workspace was above its rate and burst
 * - `bad`: the system did not serve a request that it should have served
 * - `not-counted`: never answers a caller's request
 */
export type Judgement = 'rightful' | 'rightful-above-rate' | 'bad' | 'not-counted'

export interface JudgementEntry {
  readonly judgement: Judgement
  readonly reason: string
}

/** The one table of how refusals count. */
export const refusalJudgements = {
  malformedRequest: { judgement: 'rightful', reason: 'The request can not be understood.' },
  unknownEndpoint: { judgement: 'rightful', reason: 'The manifest declares no such endpoint.' },
  unknownStatement: { judgement: 'rightful', reason: 'The session prepared no such statement.' },
  bodyTooLarge: { judgement: 'rightful', reason: 'The request is above the documented limit.' },
  headersTooLarge: { judgement: 'rightful', reason: 'The request is above the limit of the server.' },
  requestIncomplete: { judgement: 'rightful', reason: 'The caller did not send the whole request.' },
  methodNotAllowed: { judgement: 'rightful', reason: 'The interface has no such call.' },
  unknownPath: { judgement: 'rightful', reason: 'The interface has no such call.' },
  keyMissing: { judgement: 'rightful', reason: 'The caller did not say who it is.' },
  keyRefused: { judgement: 'rightful', reason: 'The key gives no right to the workspace.' },
  statementNotAllowed: { judgement: 'rightful', reason: 'The statement is outside the documented set.' },
  unknownTransaction: { judgement: 'rightful', reason: 'A transaction that the system lost counts through the answer that reported the loss.' },
  transactionBusy: { judgement: 'rightful', reason: 'The caller sent two statements of one transaction at once.' },
  deadlineExceeded: { judgement: 'bad', reason: 'The system held the request longer than its deadline allows.' },
  unknownRoute: { judgement: 'rightful', reason: 'The manifest declares no such route.' },
  sessionTokenInvalid: { judgement: 'rightful', reason: 'The caller changed the token or sent one of another group.' },
  idempotencyKeyReused: { judgement: 'rightful', reason: 'The caller used one key for two requests.' },
  headerInvalid: { judgement: 'rightful', reason: 'The request can not be understood.' },

  rateExceeded: { judgement: 'rightful-above-rate', reason: 'Within its rate a workspace must be served, however its requests are spread over instances.' },
  queueFull: { judgement: 'rightful-above-rate', reason: 'Queues may fill only through requests above the rate.' },
  tooManyTransactions: { judgement: 'bad', reason: 'The manifest gives transactions no limit of their own.' },
  retryBudgetExhausted: { judgement: 'bad', reason: 'The failure that used up the budget lies behind the entry instance.' },

  databaseError: { judgement: 'rightful', reason: 'The database ran the statement and refused it.' },
  noPrimary: { judgement: 'bad', reason: 'The group did not serve writes; failover gaps count here.' },
  noDatabase: { judgement: 'bad', reason: 'The group did not serve reads.' },
  outcomeUnknown: { judgement: 'bad', reason: 'The caller does not know whether its write took effect.' },
  notDurable: { judgement: 'bad', reason: 'The caller does not know whether its write will last.' },
  databaseRefused: { judgement: 'bad', reason: 'The request met a change of primary.' },
  transactionAborted: { judgement: 'bad', reason: 'The system or a database ended a transaction that its caller wanted to go on.' },
  noFreshReplica: { judgement: 'bad', reason: 'Replication or placement did not keep up with the session.' },

  notFresh: { judgement: 'bad', reason: 'The instance was cut off from control.' },
  shuttingDown: { judgement: 'bad', reason: 'A graceful shutdown must refuse no request.' },
  noHolder: { judgement: 'bad', reason: 'No instance could take the request over.' },
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
 * Judges one request.
 * @param refusal - null: success
 * @returns whether it counts as good; null when it does not count
 */
export function isGood (refusal: ResultName | null, withinRate: boolean): boolean | null {
  if (refusal === null) return true
  const { judgement } = refusalJudgements[refusal]
  if (judgement === 'not-counted') return null
  if (judgement === 'rightful-above-rate') return !withinRate
  return judgement === 'rightful'
}

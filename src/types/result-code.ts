import type { RunState } from './outcome.js'

export interface ResultCodeEntry {
  readonly code: number
  readonly name: string
  /** HTTP status of the answer; 0 for codes that are never sent over HTTP. */
  readonly status: number
  /** What happened, for the table in docs/result-codes.md. */
  readonly meaning: string
  /** What the caller or operator should do. */
  readonly remedy: string
}

/**
 * Every numbered result. docs/result-codes.md is generated from this table (`npm run docs:tables`).
 * A number is never reused for another meaning.
 * 1xxx: the request itself; 2xxx: limits and capacity; 3xxx: databases; 4xxx: control; 5xxx: settings and storage.
 */
export const resultCodes = {
  malformedRequest: { code: 1001, name: 'malformed-request', status: 400, meaning: 'The body is not valid JSON or a field is missing, unknown or of the wrong type.', remedy: 'Correct the request; the message names the field.' },
  bodyTooLarge: { code: 1002, name: 'body-too-large', status: 413, meaning: 'The body is larger than the limit of the settings.', remedy: 'Send a smaller body.' },
  methodNotAllowed: { code: 1003, name: 'method-not-allowed', status: 405, meaning: 'The path exists but does not accept this method.', remedy: 'Use the method in the Allow header.' },
  unknownPath: { code: 1004, name: 'unknown-path', status: 404, meaning: 'There is no such path.', remedy: 'See docs/caller-interface.md.' },
  keyMissing: { code: 1005, name: 'key-missing', status: 401, meaning: 'The request carries no bearer key and its route is not open.', remedy: 'Send the key in the Authorization header.' },
  keyRefused: { code: 1006, name: 'key-refused', status: 401, meaning: 'The key is unknown or withdrawn.', remedy: 'Ask the operator for a key.' },
  statementNotAllowed: { code: 1007, name: 'statement-not-allowed', status: 400, meaning: 'The statement does not begin with select, insert, update, delete or with.', remedy: 'Use transactions and headers in place of session statements.' },
  unknownTransaction: { code: 1008, name: 'unknown-transaction', status: 404, meaning: 'The transaction does not exist, has ended, or belongs to another workspace.', remedy: 'Begin a new transaction.' },
  transactionBusy: { code: 1009, name: 'transaction-busy', status: 409, meaning: 'The transaction is still running an earlier statement.', remedy: 'Wait for its answer.' },
  deadlineExceeded: { code: 1010, name: 'deadline-exceeded', status: 504, meaning: 'The deadline of the request passed.', remedy: 'The field outcome says whether it ran.' },
  unknownRoute: { code: 1011, name: 'unknown-route', status: 404, meaning: 'The manifest declares no such route.', remedy: 'Check the name with the operator.' },
  sessionTokenInvalid: { code: 1012, name: 'session-token-invalid', status: 400, meaning: 'The session token is damaged, or a later release wrote it.', remedy: 'Send the token of the last answer unchanged.' },
  idempotencyKeyReused: { code: 1013, name: 'idempotency-key-reused', status: 409, meaning: 'The idempotency key was used before with another statement.', remedy: 'Use a new key for each request.' },
  headerInvalid: { code: 1014, name: 'header-invalid', status: 400, meaning: 'A catkinrelay header has a value that can not be used.', remedy: 'The message names the header.' },

  unknownEndpoint: { code: 1015, name: 'unknown-endpoint', status: 404, meaning: 'The manifest declares no session endpoint of that name.', remedy: 'Check the name with the operator.' },
  unknownStatement: { code: 1016, name: 'unknown-statement', status: 404, meaning: 'The session has prepared no statement of that name.', remedy: 'Prepare it first.' },
  headersTooLarge: { code: 1017, name: 'headers-too-large', status: 431, meaning: 'The headers are larger than the server accepts.', remedy: 'Send fewer or shorter headers.' },
  requestIncomplete: { code: 1018, name: 'request-incomplete', status: 408, meaning: 'The request did not arrive completely within the time limit of the settings.', remedy: 'Send the whole request without pauses.' },

  rateExceeded: { code: 2001, name: 'rate-exceeded', status: 429, meaning: 'The workspace has used its rate and burst.', remedy: 'Retry after the stated time.' },
  queueFull: { code: 2002, name: 'queue-full', status: 503, meaning: 'The queue of the workspace at the database group is full.', remedy: 'Retry after the stated time.' },
  tooManyTransactions: { code: 2003, name: 'too-many-transactions', status: 503, meaning: 'No connection is free for another transaction.', remedy: 'Retry after the stated time.' },
  retryBudgetExhausted: { code: 2004, name: 'retry-budget-exhausted', status: 503, meaning: 'The request failed and the instance has no retry budget left.', remedy: 'Retry after the stated time.' },
  overloaded: { code: 2005, name: 'overloaded', status: 503, meaning: 'The databases have no slot or connection for the operation in time for its objective; nothing was sent to a database.', remedy: 'Retry after the stated time.' },
  sessionMemoryExceeded: { code: 2006, name: 'session-memory-exceeded', status: 503, meaning: 'There is no memory for another value or prepared statement of the session.', remedy: 'Deallocate prepared statements that are not needed, or retry after the stated time.' },

  databaseError: { code: 3001, name: 'database-error', status: 422, meaning: 'The database refused the statement.', remedy: 'Correct the statement; the message is the database\'s own.' },
  noPrimary: { code: 3002, name: 'no-primary', status: 503, meaning: 'The group has no primary at present.', remedy: 'Retry after the stated time.' },
  noDatabase: { code: 3003, name: 'no-database', status: 503, meaning: 'No database of the group can serve the request at present.', remedy: 'Retry after the stated time.' },
  outcomeUnknown: { code: 3004, name: 'outcome-unknown', status: 504, meaning: 'The statement or commit was sent and no answer came.', remedy: 'Send it again with the same idempotency key, or read before repeating.' },
  notDurable: { code: 3005, name: 'not-durable', status: 504, meaning: 'The write ran on the primary but a majority did not confirm it in time.', remedy: 'Send it again with the same idempotency key, or read before repeating.' },
  databaseRefused: { code: 3006, name: 'database-refused', status: 503, meaning: 'The database refused because it is not the primary of the expected term.', remedy: 'Retry; the group is electing a primary.' },
  transactionAborted: { code: 3007, name: 'transaction-aborted', status: 409, meaning: 'The transaction was rolled back.', remedy: 'Begin it again.' },
  noFreshReplica: { code: 3008, name: 'no-fresh-replica', status: 503, meaning: 'No database holds the session\'s position within the stated age.', remedy: 'Retry after the stated time or state a greater age.' },

  notFresh: { code: 4001, name: 'not-fresh', status: 503, meaning: 'The instance can not prove that its configuration is current.', remedy: 'Use another instance.' },
  shuttingDown: { code: 4002, name: 'shutting-down', status: 503, meaning: 'The instance is shutting down and accepts no new work.', remedy: 'Use another instance.' },
  noHolder: { code: 4003, name: 'no-holder', status: 503, meaning: 'No connection holder of the group could be reached.', remedy: 'Retry after the stated time.' },
  notLeader: { code: 4004, name: 'not-leader', status: 503, meaning: 'The control instance is not the leader.', remedy: 'Use the address in the answer.' },
  manifestInvalid: { code: 4005, name: 'manifest-invalid', status: 400, meaning: 'The manifest does not pass its checks.', remedy: 'The message lists each field and what was expected.' },
  manifestConflict: { code: 4006, name: 'manifest-conflict', status: 409, meaning: 'Another manifest was accepted with this version number.', remedy: 'Compare with the accepted content and commit again on its version.' },
  commitUnknown: { code: 4007, name: 'commit-unknown', status: 504, meaning: 'The commit was proposed, but no majority answered in time.', remedy: 'Send the same commit again; a resend gets the original answer.' },
  operatorRefused: { code: 4008, name: 'operator-refused', status: 401, meaning: 'The operator credential is missing or wrong.', remedy: 'Check the credential in the operator settings.' },
  announcementRefused: { code: 4009, name: 'announcement-refused', status: 401, meaning: 'The announcement secret is missing or wrong.', remedy: 'Check the secret in the settings of the database host.' },
  internalError: { code: 4010, name: 'internal-error', status: 500, meaning: 'The instance failed while it handled the request.', remedy: 'See the log event with the same request id.' },

  settingsInvalid: { code: 5001, name: 'settings-invalid', status: 0, meaning: 'The settings file does not pass its checks.', remedy: 'The message names the field and what was expected.' },
  dataFolderUnusable: { code: 5002, name: 'data-folder-unusable', status: 0, meaning: 'The data folder can not be read or written.', remedy: 'Check that it exists, its owner and permissions, and that its disk has room.' },
  logDamaged: { code: 5003, name: 'log-damaged', status: 0, meaning: 'A record before the end of the log is damaged; nothing was changed.', remedy: 'Replace the data folder by an empty one; the member rejoins as a learner.' },
  listenFailed: { code: 5004, name: 'listen-failed', status: 0, meaning: 'A listening address can not be used.', remedy: 'Check the address and that the port is free.' }
} as const satisfies Record<string, ResultCodeEntry>

export type ResultName = keyof typeof resultCodes
export type ResultCode = typeof resultCodes[ResultName]['code']

const entriesByCode = new Map<number, ResultCodeEntry>(Object.values(resultCodes).map((entry) => [entry.code, entry]))

/**
 * @returns the table entry of a code
 * @throws RangeError when the table does not contain the code
 */
export function findResultCodeEntry (code: ResultCode): ResultCodeEntry {
  const entry = entriesByCode.get(code)
  if (entry === undefined) throw new RangeError(`result code ${code} is not in the table`)
  return entry
}

const namesByCode = new Map<number, ResultName>(Object.entries(resultCodes).map(([name, entry]) => [entry.code, name as ResultName]))

/**
 * @returns the name of a code in the table
 * @throws RangeError when the table does not contain the code
 */
export function resultNameOf (code: ResultCode): ResultName {
  const name = namesByCode.get(code)
  if (name === undefined) throw new RangeError(`result code ${code} is not in the table`)
  return name
}

/**
 * @param outcome - whether the request ran
 * @param message - plain text for the caller; contains no key
 * @param retryAfterMs - time after which a retry may succeed, in milliseconds; null: never
 * @returns a refusal with the code of the named result
 */
export function buildRefusal (name: ResultName, outcome: RunState, message: string, retryAfterMs: number | null = null): { kind: 'refusal', code: ResultCode, outcome: RunState, message: string, retryAfterMs: number | null } {
  return { kind: 'refusal', code: resultCodes[name].code, outcome, message, retryAfterMs }
}

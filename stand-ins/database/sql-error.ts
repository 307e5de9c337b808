/** SQLSTATE codes of the stand-in's errors. Those that begin with CR are this project's own. */
export const sqlStates = {
  notPrimaryOfTerm: 'CR001',
  idempotencyKeyReused: 'CR002',
  termFenced: 'CR003',
  tooManyConnections: '53300',
  invalidPassword: '28P01',
  insufficientPrivilege: '42501',
  syntaxError: '42601',
  undefinedParameter: '42P02',
  uniqueViolation: '23505',
  invalidText: '22P02',
  readOnlyTransaction: '25006',
  transactionAborted: '25P02',
  wrongState: '55000',
  lockNotAvailable: '55P03',
  protocolViolation: '08P01',
  undefinedStatement: '26000',
  undefinedPortal: '34000',
  shutdown: '57P01',
  internal: 'XX000'
} as const

export type SqlState = typeof sqlStates[keyof typeof sqlStates]

/** Error that the stand-in sends to the client as a PostgreSQL ErrorResponse. */
export class SqlError extends Error {
  constructor (readonly sqlState: SqlState, message: string) {
    super(message)
  }
}

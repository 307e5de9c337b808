import type { DatabaseCore } from './database-core.js'
import { findResultColumns, createSqlSession, type SqlSession, type StatementResult } from './session.js'
import { SqlError, sqlStates } from './sql-error.js'
import { parseStatement, parseStatements } from './statement-parser.js'
import type { ParsedStatement } from './statement.js'
import { backendMessages, BodyReader, type FrontendMessage } from './wire-messages.js'
import type { Wire } from './wire.js'

const TEXT_OID = 25

/** A prepared statement with bound values, as the extended protocol names it. */
interface Portal {
  parsed: ParsedStatement
  values: (string | null)[]
}

/** Handles the messages of one authenticated connection in order of arrival, one at a time. */
export interface ClientConnection {
  receive: (message: FrontendMessage) => void
  end: () => void
}

function buildCommandTag ({ rows, tag }: StatementResult): string {
  return tag === 'SELECT' ? `SELECT ${rows.length}` : tag
}

function readBind (body: Buffer): { portal: string, statement: string, values: (string | null)[] } {
  const reader = new BodyReader(body)
  const portal = reader.text()
  const statement = reader.text()
  const formatCount = reader.int16()
  for (let index = 0; index < formatCount; index++) {
    if (reader.int16() !== 0) throw new SqlError(sqlStates.protocolViolation, 'binary parameters are not supported')
  }
  const values = Array.from({ length: reader.int16() }, () => {
    const length = reader.int32()
    return length < 0 ? null : reader.bytes(length).toString('utf8')
  })
  return { portal, statement, values }
}

/**
 * Creates the handler of a connection whose startup is complete.
 * @param connectionNumber - number of the connection in the history
 */
export function createClientConnection (core: DatabaseCore, wire: Wire, connectionNumber: number, initialSettings: ReadonlyMap<string, string>): ClientConnection {
  const session: SqlSession = createSqlSession(core, connectionNumber, initialSettings)
  const statements = new Map<string, ParsedStatement>()
  const portals = new Map<string, Portal>()
  const queue: FrontendMessage[] = []
  let output: Buffer[] = []
  let isHandling = false
  let isSkippingToSync = false
  /** Whether the buffered answer covers anything other than functions of the schema `catkinrelay`, so that a fault may delay it. */
  let isDelayable = false

  function flush (): void {
    if (output.length === 0) return
    wire.send(Buffer.concat(output), isDelayable ? core.faults.recordAnswer() : 0)
    output = []
    isDelayable = false
  }

  function finishAnswer (): void {
    output.push(backendMessages.readyForQuery(session.transactionStatus()))
    flush()
  }

  function pushError (error: unknown): void {
    // Errors before a statement runs, such as syntax errors, abort an open transaction too.
    session.abortTransaction()
    const sqlError = error instanceof SqlError ? error : new SqlError(sqlStates.internal, error instanceof Error ? error.message : String(error))
    output.push(backendMessages.error('ERROR', sqlError.sqlState, sqlError.message))
  }

  function cutConnection (): void {
    // The session has to end here: statements from the same packet would run before the socket's close event.
    session.end()
    wire.destroy()
  }

  async function run (parsed: ParsedStatement, values: readonly (string | null)[]): Promise<StatementResult> {
    if (parsed.statement.kind !== 'call') isDelayable = true
    if (core.faults.popMatchingCut(parsed.text, 'before')) cutConnection()
    const result = await session.execute(parsed, values)
    if (core.faults.popMatchingCut(parsed.text, 'after')) cutConnection()
    return result
  }

  function pushResult (parsed: ParsedStatement, result: StatementResult): void {
    for (const row of result.rows) output.push(backendMessages.dataRow(row))
    output.push(parsed.statement.kind === 'empty' ? backendMessages.emptyQuery() : backendMessages.commandComplete(buildCommandTag(result)))
  }

  async function runSimpleQuery (sql: string): Promise<void> {
    try {
      const parsedStatements = parseStatements(sql)
      if (parsedStatements.length === 0) output.push(backendMessages.emptyQuery())
      for (const parsed of parsedStatements) {
        const result = await run(parsed, [])
        const columns = findResultColumns(parsed.statement)
        if (columns !== null) output.push(backendMessages.rowDescription(columns))
        pushResult(parsed, result)
      }
    } catch (error) {
      pushError(error)
    }
    finishAnswer()
  }

  function parse (body: Buffer): void {
    const reader = new BodyReader(body)
    const name = reader.text()
    statements.set(name, parseStatement(reader.text()))
    output.push(backendMessages.parseComplete())
  }

  function requireStatement (name: string): ParsedStatement {
    const parsed = statements.get(name)
    if (parsed === undefined) throw new SqlError(sqlStates.undefinedStatement, `prepared statement "${name}" does not exist`)
    return parsed
  }

  function requirePortal (name: string): Portal {
    const portal = portals.get(name)
    if (portal === undefined) throw new SqlError(sqlStates.undefinedPortal, `portal "${name}" does not exist`)
    return portal
  }

  function bind (body: Buffer): void {
    const { portal, statement, values } = readBind(body)
    const parsed = requireStatement(statement)
    if (parsed.parameterCount > values.length) {
      throw new SqlError(sqlStates.protocolViolation, `bind message supplies ${values.length} parameters, but the statement requires ${parsed.parameterCount}`)
    }
    portals.set(portal, { parsed, values })
    output.push(backendMessages.bindComplete())
  }

  function describe (body: Buffer): void {
    const reader = new BodyReader(body)
    const isStatement = reader.bytes(1).toString() === 'S'
    const name = reader.text()
    const parsed = isStatement ? requireStatement(name) : requirePortal(name).parsed
    if (isStatement) output.push(backendMessages.parameterDescription(Array.from({ length: parsed.parameterCount }, () => TEXT_OID)))
    const columns = findResultColumns(parsed.statement)
    output.push(columns === null ? backendMessages.noData() : backendMessages.rowDescription(columns))
  }

  async function execute (body: Buffer): Promise<void> {
    const { parsed, values } = requirePortal(new BodyReader(body).text())
    pushResult(parsed, await run(parsed, values))
  }

  function close (body: Buffer): void {
    const reader = new BodyReader(body)
    const isStatement = reader.bytes(1).toString() === 'S'
    const name = reader.text()
    if (isStatement) statements.delete(name)
    else portals.delete(name)
    output.push(backendMessages.closeComplete())
  }

  async function handleExtended ({ type, body }: FrontendMessage): Promise<void> {
    switch (type) {
      case 'P': return parse(body)
      case 'B': return bind(body)
      case 'D': return describe(body)
      case 'E': return await execute(body)
      case 'C': return close(body)
      case 'H': return flush()
      default: throw new SqlError(sqlStates.protocolViolation, `message type ${type} is not supported`)
    }
  }

  async function handle (message: FrontendMessage): Promise<void> {
    if (message.type === 'X') {
      wire.end()
      return
    }
    if (message.type === 'S') {
      isSkippingToSync = false
      finishAnswer()
      return
    }
    if (isSkippingToSync) return
    if (message.type === 'Q') {
      await runSimpleQuery(new BodyReader(message.body).text())
      return
    }
    try {
      await handleExtended(message)
    } catch (error) {
      // The extended protocol ignores all messages between an error and the next Sync.
      isSkippingToSync = true
      pushError(error)
    }
  }

  async function handleQueued (): Promise<void> {
    isHandling = true
    for (let message = queue.shift(); message !== undefined; message = queue.shift()) await handle(message)
    isHandling = false
  }

  return {
    receive: (message) => {
      queue.push(message)
      if (!isHandling) handleQueued()
    },
    end: () => {
      queue.length = 0
      session.end()
    }
  }
}

import type { DatabaseCore } from './database-core.js'
import { columnsOf, createSqlSession, type SqlSession, type StatementResult } from './session.js'
import { SqlError, sqlStates } from './sql-error.js'
import { parseStatement, parseStatements } from './statement-parser.js'
import type { ParsedStatement } from './statement.js'
import { backendMessages, BodyReader, type FrontendMessage } from './wire-messages.js'
import type { Wire } from './wire.js'

const TEXT_OID = 25

/** A portal: a statement with its values. */
interface Portal {
  parsed: ParsedStatement
  values: (string | null)[]
}

/** Runs the messages of one authenticated connection, one after the other. */
export interface ClientConnection {
  receive: (message: FrontendMessage) => void
  end: () => void
}

function commandTag ({ rows, tag }: StatementResult): string {
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

/** @returns the handler of a connection whose startup is complete */
export function createClientConnection (core: DatabaseCore, wire: Wire, connection: number, settings: ReadonlyMap<string, string>): ClientConnection {
  const session: SqlSession = createSqlSession(core, connection, settings)
  const statements = new Map<string, ParsedStatement>()
  const portals = new Map<string, Portal>()
  const queue: FrontendMessage[] = []
  let output: Buffer[] = []
  let running = false
  let skipping = false
  /** Whether the pending answer belongs to more than status calls. */
  let delayable = false

  function flush (): void {
    if (output.length === 0) return
    wire.send(Buffer.concat(output), delayable ? core.faults.takeAnswerDelay() : 0)
    output = []
    delayable = false
  }

  function finishAnswer (): void {
    output.push(backendMessages.readyForQuery(session.transactionStatus()))
    flush()
  }

  function pushError (error: unknown): void {
    // Also an error outside of a running statement, such as one of the syntax, ends an open transaction.
    session.fail()
    const known = error instanceof SqlError ? error : new SqlError(sqlStates.internal, error instanceof Error ? error.message : String(error))
    output.push(backendMessages.error('ERROR', known.sqlState, known.message))
  }

  function cut (): void {
    // Statements that arrived in the same packet would still run before the close event of the socket.
    session.end()
    wire.destroy()
  }

  async function run (parsed: ParsedStatement, values: readonly (string | null)[]): Promise<StatementResult> {
    if (parsed.statement.kind !== 'call') delayable = true
    if (core.faults.takeCut(parsed.text, 'before')) cut()
    const result = await session.execute(parsed, values)
    if (core.faults.takeCut(parsed.text, 'after')) cut()
    return result
  }

  function pushResult (parsed: ParsedStatement, result: StatementResult): void {
    for (const row of result.rows) output.push(backendMessages.dataRow(row))
    output.push(parsed.statement.kind === 'empty' ? backendMessages.emptyQuery() : backendMessages.commandComplete(commandTag(result)))
  }

  async function simpleQuery (sql: string): Promise<void> {
    try {
      const parsedStatements = parseStatements(sql)
      if (parsedStatements.length === 0) output.push(backendMessages.emptyQuery())
      for (const parsed of parsedStatements) {
        const result = await run(parsed, [])
        const columns = columnsOf(parsed.statement)
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

  function statementOf (name: string): ParsedStatement {
    const parsed = statements.get(name)
    if (parsed === undefined) throw new SqlError(sqlStates.undefinedStatement, `prepared statement "${name}" does not exist`)
    return parsed
  }

  function portalOf (name: string): Portal {
    const portal = portals.get(name)
    if (portal === undefined) throw new SqlError(sqlStates.undefinedPortal, `portal "${name}" does not exist`)
    return portal
  }

  function bind (body: Buffer): void {
    const { portal, statement, values } = readBind(body)
    const parsed = statementOf(statement)
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
    const parsed = isStatement ? statementOf(name) : portalOf(name).parsed
    if (isStatement) output.push(backendMessages.parameterDescription(Array.from({ length: parsed.parameterCount }, () => TEXT_OID)))
    const columns = columnsOf(parsed.statement)
    output.push(columns === null ? backendMessages.noData() : backendMessages.rowDescription(columns))
  }

  async function execute (body: Buffer): Promise<void> {
    const { parsed, values } = portalOf(new BodyReader(body).text())
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

  async function extended ({ type, body }: FrontendMessage): Promise<void> {
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
      skipping = false
      finishAnswer()
      return
    }
    if (skipping) return
    if (message.type === 'Q') {
      await simpleQuery(new BodyReader(message.body).text())
      return
    }
    try {
      await extended(message)
    } catch (error) {
      // After an error in the extended protocol everything up to the next Sync is ignored.
      skipping = true
      pushError(error)
    }
  }

  async function drain (): Promise<void> {
    running = true
    for (let message = queue.shift(); message !== undefined; message = queue.shift()) await handle(message)
    running = false
  }

  return {
    receive: (message) => {
      queue.push(message)
      if (!running) drain()
    },
    end: () => {
      queue.length = 0
      session.end()
    }
  }
}

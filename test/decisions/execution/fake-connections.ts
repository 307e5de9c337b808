import type { DatabaseOperation, OperationFailed, OperationResult } from '../../../src/types/database-operation.js'
import type { ConnectionMode } from '../../../src/types/executor-message.js'
import type { ConnectionId, DatabaseId } from '../../../src/types/ids.js'
import type { FakeDatabase, FakeGroup } from './fake-group.js'

export interface FakeConnection {
  id: ConnectionId
  database: DatabaseId
  mode: ConnectionMode
  /** Number of the database's incarnation that the connection was opened to; 0 while opening. */
  run: number
  /** Statements of the open transaction; null when none is open. */
  open: { term: number, statements: string[] } | null
  /** Operation that was sent and not answered; its result is null until the database has carried it out. */
  pending: { operation: DatabaseOperation, result: OperationResult | null } | null
  /** Whether the executor closed the connection or it was lost. The database may still carry out an operation sent before. */
  ended: boolean
}

export type LossPhase = 'before-commit' | 'commit-sent'

const done = (position: { term: number, offset: number } | null): OperationResult => ({ kind: 'done', rows: [], rowCount: 0, position, replayed: false })

export function failure (phase: OperationFailed['phase'], sqlState: string | null, connectionUsable: boolean): OperationFailed {
  return { kind: 'failed', phase, sqlState, message: phase, connectionUsable }
}

const refusedTerm = failure('refused', 'CR001', true)

/** Creates connections that carry out operations on the databases of a fake group. */
export function createFakeConnections (group: FakeGroup) {
  const connections = new Map<ConnectionId, FakeConnection>()

  function write (database: FakeDatabase, term: number, statements: readonly string[]): OperationResult {
    return group.acceptsWrites(database, term) ? done(group.commit(database, statements)) : refusedTerm
  }

  function carryOut (connection: FakeConnection, operation: DatabaseOperation): OperationResult {
    const database = group.find(connection.database)
    switch (operation.kind) {
      case 'read': return done(null)
      case 'write': return write(database, operation.term, [operation.statement])
      case 'begin': {
        if (!group.acceptsWrites(database, operation.term)) return refusedTerm
        connection.open = { term: operation.term, statements: [] }
        return done(null)
      }
      case 'statement': {
        connection.open?.statements.push(operation.statement)
        return done(null)
      }
      case 'commit': {
        const open = connection.open
        connection.open = null
        return open === null ? failure('refused', '25P01', true) : write(database, open.term, open.statements)
      }
      case 'rollback': {
        connection.open = null
        return done(null)
      }
    }
  }

  /** The database carries out the operation that was sent, even if the connection has ended since. */
  function apply (connection: FakeConnection): void {
    if (connection.pending === null || connection.pending.result !== null) return
    if (connection.run !== group.find(connection.database).run) {
      connection.pending.result = failure('before-commit', null, false)
      return
    }
    connection.pending.result = carryOut(connection, connection.pending.operation)
  }

  /** The database refuses the operation that was sent, without any effect. */
  function refuse (connection: FakeConnection, sqlState: string): void {
    if (connection.pending !== null && connection.pending.result === null) connection.pending.result = failure('refused', sqlState, true)
  }

  /** Carries out the pending operation if that has not happened yet. @returns its result; null when none is pending */
  function popResult (connection: FakeConnection): OperationResult | null {
    apply(connection)
    const result = connection.pending?.result ?? null
    connection.pending = null
    return result
  }

  /**
   * The adapter loses the connection. An operation lost before its commit was sent is never carried out.
   * @returns the failure to report; null when no operation is pending
   */
  function lose (connection: FakeConnection, phase: LossPhase): OperationResult | null {
    const pending = connection.pending
    if (pending === null) return null
    const isCommit = pending.operation.kind === 'write' || pending.operation.kind === 'commit'
    if (phase === 'before-commit' && pending.result === null) connection.pending = null
    connection.ended = true
    return failure(isCommit && connection.pending !== null ? 'commit-sent' : 'before-commit', null, false)
  }

  /** Carries out every operation that was sent and not yet carried out. */
  function applyLeftovers (): void {
    for (const connection of connections.values()) apply(connection)
  }

  return { connections, apply, refuse, popResult, lose, applyLeftovers }
}

export type FakeConnections = ReturnType<typeof createFakeConnections>

import type { DatabaseOperation, OperationFailed, OperationResult } from '../../../src/types/database-operation.js'
import type { ConnectionMode } from '../../../src/types/executor-message.js'
import type { ConnectionId, DatabaseId } from '../../../src/types/ids.js'
import type { FakeDatabase, FakeGroup } from './fake-group.js'

export interface FakeConnection {
  id: ConnectionId
  database: DatabaseId
  mode: ConnectionMode
  /** Run of the database that it was opened to; 0 while opening. */
  run: number
  /** Statements of the open transaction; null when none is open. */
  open: { term: number, statements: string[] } | null
  /** Sent and not answered. */
  pending: { operation: DatabaseOperation, result: OperationResult | null } | null
  /** The executor closed it, or it ended by itself. What was sent before may still be carried out. */
  ended: boolean
}

export type LossPhase = 'before-commit' | 'commit-sent'

const done = (position: { term: number, offset: number } | null): OperationResult => ({ kind: 'done', rows: [], rowCount: 0, position, replayed: false })

export function failure (phase: OperationFailed['phase'], sqlState: string | null, connectionUsable: boolean): OperationFailed {
  return { kind: 'failed', phase, sqlState, message: phase, connectionUsable }
}

const refusedTerm = failure('refused', 'CR001', true)

/** Carries out operations of connections on the databases of a fake group. */
export function createFakeConnections (group: FakeGroup) {
  const connections = new Map<ConnectionId, FakeConnection>()

  function write (database: FakeDatabase, term: number, statements: readonly string[]): OperationResult {
    return group.takesWrites(database, term) ? done(group.commit(database, statements)) : refusedTerm
  }

  function carryOut (connection: FakeConnection, operation: DatabaseOperation): OperationResult {
    const database = group.find(connection.database)
    switch (operation.kind) {
      case 'read': return done(null)
      case 'write': return write(database, operation.term, [operation.statement])
      case 'begin': {
        if (!group.takesWrites(database, operation.term)) return refusedTerm
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

  /** The database carries out what was sent, whether or not anybody still listens. */
  function apply (connection: FakeConnection): void {
    if (connection.pending === null || connection.pending.result !== null) return
    if (connection.run !== group.find(connection.database).run) {
      connection.pending.result = failure('before-commit', null, false)
      return
    }
    connection.pending.result = carryOut(connection, connection.pending.operation)
  }

  /** The database refuses what was sent, so that nothing of it remains. */
  function refuse (connection: FakeConnection, sqlState: string): void {
    if (connection.pending !== null && connection.pending.result === null) connection.pending.result = failure('refused', sqlState, true)
  }

  /** @returns the result to deliver */
  function takeResult (connection: FakeConnection): OperationResult | null {
    apply(connection)
    const result = connection.pending?.result ?? null
    connection.pending = null
    return result
  }

  /** The adapter loses the connection. Before a commit was sent, nothing can be carried out any more. */
  function lose (connection: FakeConnection, phase: LossPhase): OperationResult | null {
    const pending = connection.pending
    if (pending === null) return null
    const isCommit = pending.operation.kind === 'write' || pending.operation.kind === 'commit'
    if (phase === 'before-commit' && pending.result === null) connection.pending = null
    connection.ended = true
    return failure(isCommit && connection.pending !== null ? 'commit-sent' : 'before-commit', null, false)
  }

  /** Everything that was sent and may still be carried out is carried out. */
  function applyLeftovers (): void {
    for (const connection of connections.values()) apply(connection)
  }

  return { connections, apply, refuse, takeResult, lose, applyLeftovers }
}

export type FakeConnections = ReturnType<typeof createFakeConnections>

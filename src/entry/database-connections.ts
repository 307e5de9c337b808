import type { DatabaseConnection, OpenDatabaseConnection } from '../types/database-connection.js'
import type { ExecutorEffect, ExecutorMessage } from '../types/executor-message.js'
import type { ConnectionId } from '../types/ids.js'

type ConnectionEffect = Exclude<ExecutorEffect, { kind: 'answer' }>

/** Carries out the connection effects of an executor: opens and closes database connections and runs operations on them. */
export interface DatabaseConnections {
  /** Starts the effect; its result is delivered later. */
  carryOut: (effect: ConnectionEffect) => void
  closeAll: () => void
}

interface ConnectionEntry {
  connection: DatabaseConnection | null
  running: boolean
  /** The executor closed the connection, or its end was delivered: no message about it is delivered any more. */
  closed: boolean
  /** The connection ended without being closed by the executor. */
  ended: boolean
}

/**
 * Creates the connections of one executor, without any.
 * @param openConnection - opens one connection
 * @param deliver - passes results to the executor; called with no message about a connection after its `close-connection`
 */
export function createDatabaseConnections (openConnection: OpenDatabaseConnection, deliver: (message: ExecutorMessage) => void): DatabaseConnections {
  const entries = new Map<ConnectionId, ConnectionEntry>()

  async function open (effect: Extract<ConnectionEffect, { kind: 'open-connection' }>): Promise<void> {
    const { connection: id, address, mode } = effect
    const entry: ConnectionEntry = { connection: null, running: false, closed: false, ended: false }
    entries.set(id, entry)
    const opened = await openConnection(address, mode)
    if (entry.closed) {
      if (opened.isOk()) opened.value.close()
      return
    }
    if (opened.isErr()) {
      entries.delete(id)
      deliver({ kind: 'connection-failed', connection: id, message: opened.error.message })
      return
    }
    entry.connection = opened.value
    opened.value.onEnd(() => {
      entry.ended = true
      // The result of a running operation is delivered before the end, because it says how far the operation came.
      if (!entry.running) deliverEnd(id, entry)
    })
    deliver({ kind: 'connection-opened', connection: id, incarnation: opened.value.status.incarnation })
  }

  function deliverEnd (id: ConnectionId, entry: ConnectionEntry): void {
    if (entry.closed) return
    entry.closed = true
    entries.delete(id)
    deliver({ kind: 'connection-closed', connection: id })
  }

  async function run (effect: Extract<ConnectionEffect, { kind: 'run' }>): Promise<void> {
    const { connection: id, operation } = effect
    const entry = entries.get(id)
    if (entry === undefined || entry.connection === null) return
    entry.running = true
    const result = await entry.connection.run(operation)
    entry.running = false
    if (entry.closed) return
    deliver({ kind: 'operation-result', connection: id, result })
    if (entry.ended) deliverEnd(id, entry)
  }

  function close (id: ConnectionId): void {
    const entry = entries.get(id)
    if (entry === undefined) return
    entry.closed = true
    entries.delete(id)
    entry.connection?.close()
  }

  return {
    carryOut: (effect) => {
      switch (effect.kind) {
        case 'open-connection': open(effect); break
        case 'run': run(effect); break
        case 'close-connection': close(effect.connection); break
      }
    },
    closeAll: () => {
      for (const id of [...entries.keys()]) close(id)
    }
  }
}

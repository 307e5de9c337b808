import type { DatabaseConnection, OpenDatabaseConnection } from '../types/database-connection.js'
import type { ExecutorEffect, ExecutorMessage } from '../types/executor-message.js'
import type { ConnectionId } from '../types/ids.js'

type ConnectionEffect = Exclude<ExecutorEffect, { kind: 'answer' }>

/** Carries out what executors ask of database connections. */
export interface DatabaseConnections {
  carryOut: (effect: ConnectionEffect) => void
  closeAll: () => void
}

interface OpenedConnection {
  connection: DatabaseConnection | null
  running: boolean
  /** Closed by the executor: nothing more is delivered. */
  closed: boolean
  /** Ended by itself. */
  ended: boolean
}

/**
 * @param openConnection - opens one connection
 * @param deliver - takes results; nothing is delivered for a connection after its `close-connection`
 */
export function createDatabaseConnections (openConnection: OpenDatabaseConnection, deliver: (message: ExecutorMessage) => void): DatabaseConnections {
  const entries = new Map<ConnectionId, OpenedConnection>()

  async function open (effect: Extract<ConnectionEffect, { kind: 'open-connection' }>): Promise<void> {
    const { connection: id, address, mode } = effect
    const entry: OpenedConnection = { connection: null, running: false, closed: false, ended: false }
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
      // A running operation first tells how far it came.
      if (!entry.running) reportEnd(id, entry)
    })
    deliver({ kind: 'connection-opened', connection: id, incarnation: opened.value.status.incarnation })
  }

  function reportEnd (id: ConnectionId, entry: OpenedConnection): void {
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
    if (entry.ended) reportEnd(id, entry)
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

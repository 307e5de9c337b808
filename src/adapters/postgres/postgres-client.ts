import { Socket } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import pg from 'pg'
import type { DatabaseFailure } from '../../types/database-connection.js'
import type { Address } from '../../types/ids.js'
import { resetSocket } from '../sockets/reset-socket.js'
import type { ResolvedPostgresOptions } from './postgres-options.js'
import { StatementBatch, type BatchOutcome, type BatchStatement } from './statement-batch.js'

/** A `pg` client that reports errors only as batch outcomes and as the end of the connection. */
export interface PostgresClient {
  /** Runs the statements in one round trip; after an error the database skips the rest. */
  run: (statements: readonly BatchStatement[]) => Promise<BatchOutcome>
  /** Ends the socket at once; a pending batch resolves as lost, and what the database has not received of it is discarded. */
  destroy: () => void
  /** Calls the listener once when the connection ends for any reason. */
  onEnd: (listener: () => void) => void
}

/** @returns host and port of an address */
export function splitAddress (address: Address): { host: string, port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

/** Converts an error of the `pg` client to a failure. */
export function toDatabaseFailure (error: unknown): DatabaseFailure {
  if (error instanceof pg.DatabaseError) return { sqlState: error.code ?? null, message: error.message }
  return { sqlState: null, message: error instanceof Error ? error.message : String(error) }
}

/** Opens and authenticates a connection. */
export async function openPostgresClient (address: Address, options: ResolvedPostgresOptions): Promise<Result<PostgresClient, DatabaseFailure>> {
  const socket = new Socket()
  const client = new pg.Client({
    ...splitAddress(address),
    ...options.credentials,
    connectionTimeoutMillis: options.connectTimeoutMs,
    stream: () => socket
  })
  // Without a listener, an error on an idle connection would end the process. The socket's `close` event reports the end of the connection.
  client.on('error', () => socket.destroy())
  const endListeners: (() => void)[] = []
  socket.once('close', () => { for (const listener of endListeners) listener() })
  try {
    await client.connect()
  } catch (error) {
    socket.destroy()
    return err(toDatabaseFailure(error))
  }

  let pendingCount = 0

  async function run (statements: readonly BatchStatement[]): Promise<BatchOutcome> {
    const batch = new StatementBatch(statements)
    pendingCount++
    client.query(batch)
    const outcome = await batch.outcome
    pendingCount--
    return outcome
  }

  function destroy (): void {
    if (pendingCount > 0) resetSocket(socket)
    else socket.destroy()
  }

  return ok({
    run,
    destroy,
    onEnd: (listener) => { endListeners.push(listener) }
  })
}

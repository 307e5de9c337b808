import { Socket } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import pg from 'pg'
import type { DatabaseFailure } from '../../types/database-connection.js'
import type { Address } from '../../types/ids.js'
import type { ResolvedPostgresOptions } from './postgres-options.js'
import { StatementBatch, type BatchOutcome, type BatchStatement } from './statement-batch.js'

/** A `pg` client whose errors show only as outcomes of batches and as the end of the connection. */
export interface PostgresClient {
  /** Runs the statements in one round trip; later ones are not run after an error. */
  run: (statements: readonly BatchStatement[]) => Promise<BatchOutcome>
  /** Ends the socket at once; a pending batch resolves as lost. */
  destroy: () => void
  /** Calls the listener once when the connection ends, for whatever reason. */
  onEnd: (listener: () => void) => void
}

/** @returns host and port of an address */
export function splitAddress (address: Address): { host: string, port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

/** @returns the failure that an error of the `pg` client stands for */
export function databaseFailure (error: unknown): DatabaseFailure {
  if (error instanceof pg.DatabaseError) return { sqlState: error.code ?? null, message: error.message }
  return { sqlState: null, message: error instanceof Error ? error.message : String(error) }
}

/** Connects and authenticates. */
export async function openPostgresClient (address: Address, options: ResolvedPostgresOptions): Promise<Result<PostgresClient, DatabaseFailure>> {
  const socket = new Socket()
  const client = new pg.Client({
    ...splitAddress(address),
    ...options.credentials,
    connectionTimeoutMillis: options.connectTimeoutMs,
    stream: () => socket
  })
  // Without a listener an error of an idle connection would end the process; `end` follows.
  client.on('error', () => socket.destroy())
  const endListeners: (() => void)[] = []
  socket.once('close', () => { for (const listener of endListeners) listener() })
  try {
    await client.connect()
  } catch (error) {
    socket.destroy()
    return err(databaseFailure(error))
  }

  async function run (statements: readonly BatchStatement[]): Promise<BatchOutcome> {
    const batch = new StatementBatch(statements)
    client.query(batch)
    return await batch.outcome
  }

  return ok({
    run,
    destroy: () => { socket.destroy() },
    onEnd: (listener) => { endListeners.push(listener) }
  })
}

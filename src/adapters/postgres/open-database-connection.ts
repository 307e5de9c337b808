import { err, ok } from 'neverthrow'
import type { DatabaseFailure, OpenDatabaseConnection } from '../../types/database-connection.js'
import { databaseCalls, readStatusRow } from './database-calls.js'
import { createOperationRunner } from './operation-runner.js'
import { openPostgresClient, type PostgresClient } from './postgres-client.js'
import { resolvePostgresOptions, type PostgresOptions, type ResolvedPostgresOptions } from './postgres-options.js'
import type { BatchOutcome, BatchStatement } from './statement-batch.js'

/** Runs a batch and ends the connection when the answer is overdue, so that the batch resolves as lost. */
export async function runWithin (client: PostgresClient, statements: readonly BatchStatement[], timeoutMs: number): Promise<BatchOutcome> {
  const timer = setTimeout(client.destroy, timeoutMs)
  const outcome = await client.run(statements)
  clearTimeout(timer)
  return outcome
}

/** @returns the failure that a batch without status row stands for */
export function failureOf (outcome: BatchOutcome): DatabaseFailure {
  if (outcome.kind === 'completed') return { sqlState: null, message: 'the database gave no status row' }
  return { sqlState: outcome.kind === 'error' ? outcome.sqlState : null, message: outcome.message }
}

async function askStatus (client: PostgresClient, settings: readonly BatchStatement[], options: ResolvedPostgresOptions): Promise<BatchOutcome> {
  return await runWithin(client, [...settings, databaseCalls.status()], options.connectTimeoutMs)
}

/** @returns the function that opens connections with the given credentials */
export function createOpenDatabaseConnection (options: PostgresOptions): OpenDatabaseConnection {
  const resolved = resolvePostgresOptions(options)
  return async (address, mode) => {
    const opened = await openPostgresClient(address, resolved)
    if (opened.isErr()) return err(opened.error)
    const client = opened.value
    let closed = false
    let ended = false
    const endListeners: (() => void)[] = []
    client.onEnd(() => {
      ended = true
      if (!closed) endListeners.forEach((listener) => listener())
    })
    const outcome = await askStatus(client, mode === 'read' ? [databaseCalls.setReadOnly()] : [], resolved)
    const status = outcome.kind === 'completed' ? readStatusRow(outcome.results.at(-1)?.rows[0]) : null
    if (status === null) {
      client.destroy()
      return err(failureOf(outcome))
    }
    return ok({
      status,
      run: createOperationRunner(client),
      close: () => {
        closed = true
        client.destroy()
      },
      onEnd: (listener) => {
        if (ended && !closed) queueMicrotask(listener)
        else endListeners.push(listener)
      }
    })
  }
}

import { err, ok } from 'neverthrow'
import type { DatabaseFailure, OpenDatabaseConnection } from '../../types/database-connection.js'
import { databaseCalls, readStatusRow } from './database-calls.js'
import { createOperationRunner } from './operation-runner.js'
import { openPostgresClient, type PostgresClient } from './postgres-client.js'
import { resolvePostgresOptions, type PostgresOptions, type ResolvedPostgresOptions } from './postgres-options.js'
import type { BatchOutcome, BatchStatement } from './statement-batch.js'

/**
 * Runs a batch and destroys the connection when the answer is overdue; the batch then resolves as lost.
 * @param timeoutMs - time for the answer in milliseconds
 */
export async function runWithTimeout (client: PostgresClient, statements: readonly BatchStatement[], timeoutMs: number): Promise<BatchOutcome> {
  const timer = setTimeout(client.destroy, timeoutMs)
  const outcome = await client.run(statements)
  clearTimeout(timer)
  return outcome
}

/** @returns the failure to report for a batch that returned no valid status row */
export function toStatusFailure (outcome: BatchOutcome): DatabaseFailure {
  if (outcome.kind === 'completed') return { sqlState: null, message: 'the database returned no valid status row' }
  return { sqlState: outcome.kind === 'error' ? outcome.sqlState : null, message: outcome.message }
}

async function queryStatus (client: PostgresClient, settings: readonly BatchStatement[], options: ResolvedPostgresOptions): Promise<BatchOutcome> {
  return await runWithTimeout(client, [...settings, databaseCalls.status()], options.connectTimeoutMs)
}

/** @returns a function that opens connections with the given credentials */
export function createDatabaseConnectionOpener (options: PostgresOptions): OpenDatabaseConnection {
  const resolved = resolvePostgresOptions(options)
  return async (address, mode) => {
    const opened = await openPostgresClient(address, resolved)
    if (opened.isErr()) return err(opened.error)
    const client = opened.value
    let isClosed = false
    let hasEnded = false
    const endListeners: (() => void)[] = []
    client.onEnd(() => {
      hasEnded = true
      if (!isClosed) endListeners.forEach((listener) => listener())
    })
    const outcome = await queryStatus(client, mode === 'read' ? [databaseCalls.setReadOnly()] : [], resolved)
    const status = outcome.kind === 'completed' ? readStatusRow(outcome.results.at(-1)?.rows[0]) : null
    if (status === null) {
      client.destroy()
      return err(toStatusFailure(outcome))
    }
    return ok({
      status,
      run: createOperationRunner(client),
      close: () => {
        isClosed = true
        client.destroy()
      },
      onEnd: (listener) => {
        if (hasEnded && !isClosed) queueMicrotask(listener)
        else endListeners.push(listener)
      }
    })
  }
}

import { err, ok, type Result } from 'neverthrow'
import type { DatabaseFailure, DatabaseOrders } from '../../types/database-connection.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { Address } from '../../types/ids.js'
import { databaseCalls, readStatusRow } from './database-calls.js'
import { failureOf, runWithin } from './open-database-connection.js'
import { openPostgresClient } from './postgres-client.js'
import { resolvePostgresOptions, type PostgresOptions } from './postgres-options.js'
import type { BatchStatement } from './statement-batch.js'

/** @returns orders that each use a connection of their own, as they are rare and an old connection may have gone silent */
export function createDatabaseOrders (options: PostgresOptions): DatabaseOrders {
  const resolved = resolvePostgresOptions(options)

  async function order (address: Address, call: BatchStatement): Promise<Result<DatabaseStatus, DatabaseFailure>> {
    const opened = await openPostgresClient(address, resolved)
    if (opened.isErr()) return err(opened.error)
    const outcome = await runWithin(opened.value, [call], resolved.orderTimeoutMs)
    opened.value.destroy()
    const status = outcome.kind === 'completed' ? readStatusRow(outcome.results[0]?.rows[0]) : null
    return status === null ? err(failureOf(outcome)) : ok(status)
  }

  return {
    status: async (address) => await order(address, databaseCalls.status()),
    fence: async (address, term) => await order(address, databaseCalls.fence(term)),
    promote: async (address, term) => await order(address, databaseCalls.promote(term)),
    follow: async (address, term, primaryAddress) => await order(address, databaseCalls.follow(term, primaryAddress))
  }
}

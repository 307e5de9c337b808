import { err, ok, type Result } from 'neverthrow'
import type { DatabaseFailure, DatabaseOrders } from '../../types/database-connection.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { Address } from '../../types/ids.js'
import { databaseCalls, readStatusRow } from './database-calls.js'
import { toStatusFailure, runWithTimeout } from './open-database-connection.js'
import { openPostgresClient } from './postgres-client.js'
import { resolvePostgresOptions, type PostgresOptions } from './postgres-options.js'
import type { BatchStatement } from './statement-batch.js'

/** Creates a sender of orders. Each order opens its own connection: orders are rare, and a connection kept since the last one may be silent. */
export function createDatabaseOrders (options: PostgresOptions): DatabaseOrders {
  const resolved = resolvePostgresOptions(options)

  async function sendOrder (address: Address, call: BatchStatement): Promise<Result<DatabaseStatus, DatabaseFailure>> {
    const opened = await openPostgresClient(address, resolved)
    if (opened.isErr()) return err(opened.error)
    const outcome = await runWithTimeout(opened.value, [call], resolved.orderTimeoutMs)
    opened.value.destroy()
    const status = outcome.kind === 'completed' ? readStatusRow(outcome.results[0]?.rows[0]) : null
    return status === null ? err(toStatusFailure(outcome)) : ok(status)
  }

  return {
    status: async (address) => await sendOrder(address, databaseCalls.status()),
    fence: async (address, term) => await sendOrder(address, databaseCalls.fence(term)),
    promote: async (address, term) => await sendOrder(address, databaseCalls.promote(term)),
    follow: async (address, term, primaryAddress) => await sendOrder(address, databaseCalls.follow(term, primaryAddress))
  }
}

import type { StatusWatch, WatchDatabaseStatus } from '../../types/database-connection.js'
import type { Clock } from '../../types/clock.js'
import type { LogPosition } from '../../types/log-position.js'
import { databaseCalls, readStatusRow } from './database-calls.js'
import { failureOf, runWithin } from './open-database-connection.js'
import { openPostgresClient, type PostgresClient } from './postgres-client.js'
import { resolvePostgresOptions, type PostgresOptions } from './postgres-options.js'

/** Before every position, so that the first call on a connection is answered at once. */
const BEFORE_ALL: LogPosition = { term: -1, offset: -1 }

/**
 * @param clock - clock of the process, for the times at which a status was asked for
 * @returns the function that starts status watches with the given credentials
 */
export function createWatchDatabaseStatus (options: PostgresOptions, clock: Clock): WatchDatabaseStatus {
  const resolved = resolvePostgresOptions(options)
  return ({ database, address, onStatus, onSilent }): StatusWatch => {
    let stopped = false
    let client: PostgresClient | null = null
    let reconnect: NodeJS.Timeout | null = null

    function silent (message: string): void {
      client?.destroy()
      client = null
      if (stopped) return
      onSilent(message)
      reconnect = setTimeout(connect, resolved.reconnectPauseMs)
    }

    async function poll (polled: PostgresClient, after: LogPosition): Promise<void> {
      let position = after
      for (;;) {
        const askedAt = clock.now()
        const outcome = await runWithin(polled, [databaseCalls.waitStatus(position, resolved.statusWaitMs)], resolved.statusWaitMs + resolved.statusOverdueMs)
        if (stopped) return
        const status = outcome.kind === 'completed' ? readStatusRow(outcome.results[0]?.rows[0]) : null
        if (status === null) {
          silent(failureOf(outcome).message)
          return
        }
        if (status.database !== database) {
          silent(`${address} answered as database ${status.database}, not ${database}`)
          return
        }
        position = status.position
        onStatus(status, askedAt)
      }
    }

    async function connect (): Promise<void> {
      const opened = await openPostgresClient(address, resolved)
      if (stopped) {
        if (opened.isOk()) opened.value.destroy()
        return
      }
      if (opened.isErr()) {
        silent(opened.error.message)
        return
      }
      client = opened.value
      await poll(client, BEFORE_ALL)
    }

    connect()
    return {
      stop: () => {
        stopped = true
        if (reconnect !== null) clearTimeout(reconnect)
        client?.destroy()
      }
    }
  }
}

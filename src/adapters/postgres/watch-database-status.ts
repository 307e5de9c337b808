import type { StatusWatch, WatchDatabaseStatus } from '../../types/database-connection.js'
import type { Clock } from '../../types/clock.js'
import type { LogPosition } from '../../types/log-position.js'
import { databaseCalls, readStatusRow } from './database-calls.js'
import { toStatusFailure, runWithTimeout } from './open-database-connection.js'
import { openPostgresClient, type PostgresClient } from './postgres-client.js'
import { resolvePostgresOptions, type PostgresOptions } from './postgres-options.js'

/** Precedes every position, so that the database answers the first call on a connection at once. */
const BEFORE_FIRST_POSITION: LogPosition = { term: -1, offset: -1 }

/**
 * @param clock - clock of the process; gives the time at which each status was requested
 * @returns a function that starts status watches with the given credentials
 */
export function createWatchDatabaseStatus (options: PostgresOptions, clock: Clock): WatchDatabaseStatus {
  const resolved = resolvePostgresOptions(options)
  return ({ database, address, onStatus, onSilent }): StatusWatch => {
    let isStopped = false
    let client: PostgresClient | null = null
    let reconnectTimer: NodeJS.Timeout | null = null

    function reportSilence (message: string): void {
      client?.destroy()
      client = null
      if (isStopped) return
      onSilent(message)
      reconnectTimer = setTimeout(connect, resolved.reconnectPauseMs)
    }

    async function poll (polled: PostgresClient, after: LogPosition): Promise<void> {
      let position = after
      for (;;) {
        const requestedAt = clock.now()
        const outcome = await runWithTimeout(polled, [databaseCalls.waitStatus(position, resolved.statusWaitMs)], resolved.statusWaitMs + resolved.statusOverdueMs)
        if (isStopped) return
        const status = outcome.kind === 'completed' ? readStatusRow(outcome.results[0]?.rows[0]) : null
        if (status === null) {
          reportSilence(toStatusFailure(outcome).message)
          return
        }
        if (status.database !== database) {
          reportSilence(`${address} answered as database ${status.database}, not ${database}`)
          return
        }
        position = status.position
        onStatus(status, requestedAt)
      }
    }

    async function connect (): Promise<void> {
      const opened = await openPostgresClient(address, resolved)
      if (isStopped) {
        if (opened.isOk()) opened.value.destroy()
        return
      }
      if (opened.isErr()) {
        reportSilence(opened.error.message)
        return
      }
      client = opened.value
      await poll(client, BEFORE_FIRST_POSITION)
    }

    connect()
    return {
      stop: () => {
        isStopped = true
        if (reconnectTimer !== null) clearTimeout(reconnectTimer)
        client?.destroy()
      }
    }
  }
}

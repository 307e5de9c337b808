import type { Random } from '../src/utils/create-random.js'
import type { Answer, CallerConnection, QueryOptions, StatementOutcome } from './caller.js'
import { openCaller } from './caller.js'
import type { InstanceProcess } from './fleet.js'
import { ports } from './fleet.js'
import type { History, Workload } from './workload.js'
import { sendStatement } from './workload.js'

/**
 * How a session sends its statements.
 * - `usual`: one at a time, with pauses
 * - `long`: only transactions of the greatest length, with longer pauses
 * - `eager`: one at a time, the next one as soon as an answer arrives
 * - `pipelining`: several without waiting for answers
 * - `slow`: one at a time; it writes and reads large values, and begins to read late
 * - `half-closing`: like `usual`, and closes its direction of the connection after its last statement
 */
export type Habit = 'usual' | 'long' | 'eager' | 'pipelining' | 'slow' | 'half-closing'

/** A route that sessions use. */
export interface PlannedRoute {
  database: string
  timeoutMs: number
  readsOnly: boolean
}

export interface PlannedWorkloadOptions {
  random: Random
  entries: readonly InstanceProcess[]
  workspaces: readonly { name: string, key: string }[]
  routes: readonly PlannedRoute[]
  /** Number of concurrent sessions. */
  sessions: number
  /** Habits among which each session draws one. */
  habits: readonly Habit[]
  stalledMs: () => number
}

/** Time after SIGTERM in which the load balancer still sends callers to an instance, in milliseconds. */
const BALANCER_REACTION_MS = 2000
/** Shortest and longest pause between two statements, in milliseconds. */
const PAUSE_MS: [number, number] = [20, 400]
const LONG_PAUSE_MS: [number, number] = [200, 400]
/** Smallest and largest number of statements of a transaction. */
const TRANSACTION_STATEMENTS: [number, number] = [2, 12]
/** Shares of the sessions that serve one operation, that set a value, and that prepare statements. */
const SINGLE_OPERATION_SHARE = 0.3
const VALUE_SHARE = 0.3
const PREPARING_SHARE = 0.4
/** Size of a large value in bytes. */
const LARGE_VALUE_BYTES = 900_000
/** Longest time after which a slow session begins to read, in milliseconds. */
const MAX_READ_DELAY_MS = 900
/** Time after which a caller gives up on an answer, in milliseconds. It is above the limits of all routes. */
const ANSWER_TIMEOUT_MS = 8000
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Starts sessions that use their connections until the connections end, as clients do around planned stops. */
export function startPlannedWorkload (options: PlannedWorkloadOptions): Workload {
  const { random } = options
  const history: History = { writes: [], sent: new Map(), violations: [], served: 0, notServed: 0, stalledMs: options.stalledMs }
  const state = { isStopping: false }
  const between = ([from, to]: [number, number]): number => from + random() * (to - from)
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)] as Item

  async function runCaller (number: number): Promise<void> {
    const workspace = options.workspaces[number % options.workspaces.length] as { name: string, key: string }
    const route = options.routes[number % options.routes.length] as PlannedRoute
    for (let session = 0; !state.isStopping; session++) {
      await pause(random() * PAUSE_MS[1])
      const entry = pick(options.entries.filter(({ process, stoppingSince }) => process !== null && (stoppingSince === null || Date.now() - stoppingSince < BALANCER_REACTION_MS)))
      const connection = entry === undefined ? null : await openCaller(entry.host, ports.callers, route.database, workspace.key, ANSWER_TIMEOUT_MS)
      if (connection !== null) await runSession(connection, `s${number}.${session}`, workspace.name, route)
    }
  }

  async function runSession (connection: CallerConnection, item: string, workspace: string, { database, timeoutMs, readsOnly }: PlannedRoute): Promise<void> {
    const habit = pick(options.habits)
    const isSingle = random() < SINGLE_OPERATION_SHARE
    const isPreparing = random() < PREPARING_SHARE
    const isSetting = random() < VALUE_SHARE
    let values = ''
    let count = 0

    async function send (text: string, { wireText = text, beginsOperation = false, query = {} }: { wireText?: string, beginsOperation?: boolean, query?: QueryOptions } = {}): Promise<Answer & { id: string }> {
      const answer = await sendStatement(history, connection, { text, workspace, beginsOperation, values, database, timeoutMs }, wireText, query)
      if (answer.outcome === 'done') history.served++
      else history.notServed++
      return answer
    }

    /** Sends a read or a write. @returns the answer, and the recorded write */
    async function sendData (isTransaction: boolean, query: QueryOptions = {}): Promise<{ answer: Answer, write: History['writes'][number] | null }> {
      // A slow session writes one large value and then reads it.
      const isWrite = !readsOnly && (habit === 'slow' ? count === 0 : random() < 0.4)
      const value = isWrite ? ` ${++count}${habit === 'slow' ? '.'.repeat(LARGE_VALUE_BYTES) : ''}` : ''
      const kind = isWrite ? 'WRITE' : 'READ'
      const slowQuery = habit === 'slow' && !isWrite ? { readAfterMs: random() * MAX_READ_DELAY_MS, ...query } : query
      const answer = isPreparing && random() < 0.5
        ? await send(`EXECUTE ${kind} shape ${item}${value}`, { wireText: `EXECUTE ${kind.toLowerCase()}1 ${item}${value}`, beginsOperation: !isTransaction, query: slowQuery })
        : await send(`${kind} ${item}${value}`, { beginsOperation: !isTransaction, query: slowQuery })
      const write = isWrite ? { id: answer.id, item, count, workspace, outcome: answer.outcome, isTransaction, at: Date.now() } : null
      if (write !== null) history.writes.push(write)
      return { answer, write }
    }

    async function pauseBetween (): Promise<void> {
      if (habit !== 'eager' && habit !== 'pipelining') await pause(between(habit === 'long' ? LONG_PAUSE_MS : PAUSE_MS))
    }

    async function runTransaction (): Promise<void> {
      const isReading = readsOnly || random() < 0.2
      const writes: History['writes'][number][] = []
      const statementCount = habit === 'long' ? TRANSACTION_STATEMENTS[1] : Math.round(between(TRANSACTION_STATEMENTS))
      let { outcome } = await send(isReading ? 'BEGIN READ' : 'BEGIN', { beginsOperation: true })
      if (outcome !== 'done') return
      for (let sent = 2; sent < statementCount && outcome === 'done'; sent++) {
        await pauseBetween()
        const { answer, write } = isReading ? { answer: await send(`READ ${item}`), write: null } : await sendData(true)
        outcome = answer.outcome
        if (write !== null) writes.push(write)
      }
      await pauseBetween()
      const isRolledBack = outcome !== 'done' || random() < 0.15
      const ended = await send(isRolledBack ? 'ROLLBACK' : 'COMMIT')
      const kept: StatementOutcome = isRolledBack ? 'not-kept' : ended.outcome
      for (const write of writes) write.outcome = kept
      // After a failed end the session may still be in the transaction.
      if (ended.outcome !== 'done') connection.close()
    }

    if (isSetting) {
      if ((await send(`SET owner ${item}`)).outcome !== 'done') return connection.close()
      values = `owner=${item}`
    }
    if (isPreparing) {
      const prepared = [await send('PREPARE read1 READ shape'), await send('PREPARE write1 WRITE shape')]
      if (prepared.some(({ outcome }) => outcome !== 'done')) return connection.close()
    }
    const operations = isSingle ? 1 : Infinity
    for (let operation = 1; operation <= operations && connection.isOpen() && !state.isStopping; operation++) {
      await pauseBetween()
      const closesAfterSending = habit === 'half-closing' && random() < 0.1
      if (habit === 'long' || random() < 0.3) await runTransaction()
      else if (habit === 'pipelining') await Promise.all(Array.from({ length: 2 + Math.floor(random() * 4) }, () => sendData(false)))
      else await sendData(false, { closesAfterSending })
      if (closesAfterSending) break
    }
    connection.close()
  }

  const callerLoops = Array.from({ length: options.sessions }, (_, number) => runCaller(number))
  return {
    history,
    stop: async () => {
      state.isStopping = true
      await Promise.race([Promise.all(callerLoops), pause(ANSWER_TIMEOUT_MS)])
    }
  }
}

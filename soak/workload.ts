import type { WireGroup } from '../stand-ins/platform/wire-group.js'
import type { Random } from '../src/utils/create-random.js'
import type { Answer, CallerConnection, QueryOptions, StatementOutcome } from './caller.js'
import { openCaller } from './caller.js'
import type { InstanceProcess } from './fleet.js'
import { ports } from './fleet.js'

/** One write and its outcome as the caller received it. */
export interface WriteRecord {
  id: string
  item: string
  /** Value that was written. It rises with each write of the item. */
  count: number
  workspace: string
  outcome: StatementOutcome
  isTransaction: boolean
  /** Time of the answer, in milliseconds since the Unix epoch. */
  at: number
}

/** A statement that a caller sent. */
export interface SentStatement {
  text: string
  /** Workspace that held the key of the session at the start of the run. */
  workspace: string
  /** Whether the statement counts towards the rate of its workspace. */
  beginsOperation: boolean
  /** Values that the session had, as `name=value` in the order of the names. */
  values: string
  /** Time at which the caller got the answer, in milliseconds since the Unix epoch; null when it got none. */
  answeredAt: number | null
  /** Name of the database that the session asked for. */
  database: string
  /** Address of the entry instance that it was sent to. */
  host: string
  /** Time limit of its route for one statement, in milliseconds. */
  timeoutMs: number
  /** Time at which it was sent, in milliseconds since the Unix epoch. */
  sentAt: number
  /** Time at which its answer was complete or its connection ended, in milliseconds since the Unix epoch; null before. */
  endedAt: number | null
  /** Time that the caller waited, in milliseconds, less the time in which this program could not observe the end. */
  waitedMs: number
  /** Its answer; null before it ends. */
  answer: Answer | null
}

/** A statement before it is sent. */
export type PlannedStatement = Omit<SentStatement, 'answeredAt' | 'host' | 'sentAt' | 'endedAt' | 'waitedMs' | 'answer'>

/** Last acknowledged write of a session at one group. */
interface AcknowledgedWrite {
  count: number
  /** Term of the group at the acknowledgement. */
  term: number
}

/** Statements, outcomes and violations that all callers observed together. */
export interface History {
  writes: WriteRecord[]
  /** All sent statements by id. */
  sent: Map<string, SentStatement>
  violations: string[]
  served: number
  notServed: number
  /** @returns time in which this program handled no events, in milliseconds */
  stalledMs: () => number
}

/** Time limit of the routes for one statement, in milliseconds. */
export const STATEMENT_TIMEOUT_MS = 1500

/**
 * Sends a statement and records it.
 * @param wireText - text to send, where it differs from the text that is compared with what a database ran
 */
export async function sendStatement ({ sent, stalledMs }: History, connection: CallerConnection, statement: PlannedStatement, wireText = statement.text, options: QueryOptions = {}): Promise<Answer & { id: string }> {
  const id = `q${sent.size + 1}`
  const record: SentStatement = { ...statement, answeredAt: null, host: connection.host, sentAt: Date.now(), endedAt: null, waitedMs: 0, answer: null }
  const stalledBefore = stalledMs()
  sent.set(id, record)
  const answer = await connection.query(id, wireText, options)
  record.answer = answer
  record.endedAt = Date.now()
  record.waitedMs = record.endedAt - record.sentAt - (stalledMs() - stalledBefore)
  if (answer.outcome === 'done' || answer.code !== null) record.answeredAt = record.endedAt
  return { id, ...answer }
}

/** Options of the workload. `callers` is the number of concurrent callers. */
export interface WorkloadOptions {
  random: Random
  entries: readonly InstanceProcess[]
  workspaces: readonly { name: string, key: string }[]
  databases: readonly string[]
  callers: number
  stalledMs: () => number
  /** @returns the group whose database ran a statement; its term rises with each promotion */
  groupOf: (id: string) => Pick<WireGroup, 'service' | 'term'> | undefined
  /** Whether a promotion may lose acknowledged commits. */
  canLoseCommits: boolean
}

/** Running callers. */
export interface Workload {
  readonly history: History
  /** Stops the callers and waits up to 5 s for them to finish. */
  stop: () => Promise<void>
}

/** Mean pause between two operations of a caller. */
const MEAN_THINK_TIME_MS = 60
/** Share of the operations before which a session changes a value. */
const VALUE_CHANGE_SHARE = 0.2
/** Bytes that items contain besides their number: line ends that end no message, bytes of other encodings, and names of properties of objects. */
const ITEM_SUFFIXES = ['', '\n', '\rx', '\u00e1\u00bb\u00a3', '\0\u00ff', '.__proto__', '.constructor']
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Starts the callers. Only one session writes an item, so the session knows which value a later read must return. */
export function startWorkload (options: WorkloadOptions): Workload {
  const { random } = options
  const history: History = { writes: [], sent: new Map(), violations: [], served: 0, notServed: 0, stalledMs: options.stalledMs }
  const state = { isStopping: false }
  const valuesOf = new WeakMap<CallerConnection, string>()
  const databaseOf = new WeakMap<CallerConnection, string>()

  async function runCaller (number: number): Promise<void> {
    const workspace = options.workspaces[number % options.workspaces.length] as { name: string, key: string }
    const database = options.databases[number % options.databases.length] as string
    let sessionNumber = 0
    while (!state.isStopping) {
      const entry = options.entries[Math.floor(random() * options.entries.length)] as InstanceProcess
      const connection = await openCaller(entry.host, ports.callers, database, workspace.key)
      if (connection === null) await pause(100)
      else await runSession(connection, `c${number}.${sessionNumber++}${ITEM_SUFFIXES[sessionNumber % ITEM_SUFFIXES.length] ?? ''}`, workspace.name, database)
    }
  }

  async function send (connection: CallerConnection, workspace: string, text: string, beginsOperation: boolean): Promise<Answer & { id: string }> {
    return await sendStatement(history, connection, { text, workspace, beginsOperation, values: valuesOf.get(connection) ?? '', database: databaseOf.get(connection) ?? '', timeoutMs: STATEMENT_TIMEOUT_MS })
  }

  async function runSession (connection: CallerConnection, item: string, workspace: string, database: string): Promise<void> {
    let count = 0
    const acknowledged = new Map<string, AcknowledgedWrite>()
    const stepCount = 5 + Math.floor(random() * 40)
    databaseOf.set(connection, database)
    await setOwner(connection, workspace, item)
    for (let step = 0; step < stepCount && connection.isOpen() && !state.isStopping; step++) {
      await pause(random() * MEAN_THINK_TIME_MS * 2)
      if (random() < VALUE_CHANGE_SHARE) await setOwner(connection, workspace, `${item}.${step}`)
      const kind = random()
      if (kind < 0.35) {
        count++
        const { id, outcome } = await send(connection, workspace, `WRITE ${item} ${count}`, true)
        recordOutcome(outcome, { id, item, count, workspace, outcome, isTransaction: false, at: Date.now() })
        if (outcome === 'done') recordAcknowledged(acknowledged, id, count)
      } else if (kind < 0.5) {
        count++
        const { id, outcome } = await runTransaction(connection, item, count, workspace)
        if (outcome === 'done') recordAcknowledged(acknowledged, id, count)
      } else {
        const { id, outcome, rows } = await send(connection, workspace, `READ ${item}`, true)
        recordOutcome(outcome, null)
        const group = options.groupOf(id)
        if (outcome === 'done') checkRead(item, rows[0], group === undefined ? undefined : acknowledged.get(group.service), group?.term() ?? 0, count)
      }
    }
    connection.close()
  }

  async function setOwner (connection: CallerConnection, workspace: string, owner: string): Promise<void> {
    const { outcome } = await send(connection, workspace, `SET owner ${owner}`, false)
    if (outcome === 'done') valuesOf.set(connection, `owner=${owner}`)
    else connection.close()
  }

  function recordAcknowledged (acknowledged: Map<string, AcknowledgedWrite>, id: string, count: number): void {
    const group = options.groupOf(id)
    if (group !== undefined) acknowledged.set(group.service, { count, term: group.term() })
  }

  /**
   * Checks that a session reads its own writes at the group that ran the read. A promotion may lose acknowledged commits if commits do not
   * wait for a replica.
   * @param last - last acknowledged write of the session at that group; undefined before the first
   */
  function checkRead (item: string, row: string | undefined, last: AcknowledgedWrite | undefined, term: number, written: number): void {
    const seen = row === '-' ? 0 : Number(row)
    const acknowledged = last?.count ?? 0
    if (row === undefined || Number.isNaN(seen) || seen > written) history.violations.push(`MIXED: ${item} shows ${row ?? 'no row'}, ${written} was written last`)
    else if (seen < acknowledged && (last?.term === term || !options.canLoseCommits)) history.violations.push(`STALE: ${item} shows ${seen} after ${acknowledged} was acknowledged`)
  }

  async function runTransaction (connection: CallerConnection, item: string, count: number, workspace: string): Promise<{ id: string, outcome: StatementOutcome }> {
    const begun = await send(connection, workspace, 'BEGIN', false)
    if (begun.outcome !== 'done') {
      recordOutcome(begun.outcome, null)
      return { id: begun.id, outcome: 'unknown' }
    }
    const written = await send(connection, workspace, `WRITE ${item} ${count}`, true)
    if (written.outcome === 'done') {
      const { outcome, rows } = await send(connection, workspace, `READ ${item}`, false)
      if (outcome === 'done' && rows[0] !== String(count)) history.violations.push(`PINNED: ${item} shows ${rows[0] ?? 'no row'} in the transaction that wrote ${count}`)
    }
    const isRolledBack = random() < 0.2
    const ended = await send(connection, workspace, isRolledBack ? 'ROLLBACK' : 'COMMIT', false)
    const outcome: StatementOutcome = written.outcome !== 'done' || isRolledBack ? 'not-kept' : ended.outcome
    // If the write failed, the transaction is rolled back, whatever the answer to its commit is.
    recordOutcome(outcome === 'not-kept' ? ended.outcome : outcome, { id: written.id, item, count, workspace, outcome, isTransaction: true, at: Date.now() })
    return { id: written.id, outcome }
  }

  function recordOutcome (outcome: StatementOutcome, write: WriteRecord | null): void {
    if (outcome === 'done') history.served++
    else history.notServed++
    if (write !== null) history.writes.push(write)
  }

  const callerLoops = Array.from({ length: options.callers }, (_, number) => runCaller(number))
  return {
    history,
    stop: async () => {
      state.isStopping = true
      await Promise.race([Promise.all(callerLoops), pause(5000)])
    }
  }
}

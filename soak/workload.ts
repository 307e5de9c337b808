import type { Random } from '../src/utils/create-random.js'
import type { Answer, CallerConnection, Told } from './caller.js'
import { openCaller } from './caller.js'
import type { Machine } from './fleet.js'
import { ports } from './fleet.js'

/** One write as its caller saw it. */
export interface WriteRecord {
  id: string
  item: string
  /** Rises with each write of the item. */
  count: number
  workspace: string
  told: Told
  isTransaction: boolean
  /** When the answer came, in Unix milliseconds. */
  at: number
}

export interface SentStatement {
  text: string
  workspace: string
  /** Whether the rate of the workspace counts it. */
  beginsOperation: boolean
}

/** What all callers saw. */
export interface History {
  writes: WriteRecord[]
  /** All statements that were sent, by id. */
  sent: Map<string, SentStatement>
  violations: string[]
  served: number
  notServed: number
}

export interface WorkloadOptions {
  random: Random
  entries: readonly Machine[]
  workspaces: readonly { name: string, key: string }[]
  databases: readonly string[]
  callers: number
  /** @returns the term of the group behind a database, which rises with each promotion */
  termOf: (database: string) => number
  /** Whether a promotion may lose acknowledged commits. */
  mayLose: boolean
}

export interface Workload {
  readonly history: History
  stop: () => Promise<void>
}

/** Pause between two operations of a caller, on average, in milliseconds. */
const THINK_MS = 60
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Starts callers. Each owns the items that it writes, so that it knows what a later read of its session must show. */
export function startWorkload (options: WorkloadOptions): Workload {
  const { random } = options
  const history: History = { writes: [], sent: new Map(), violations: [], served: 0, notServed: 0 }
  const progress = { isStopping: false }
  let idCount = 0

  async function runCaller (number: number): Promise<void> {
    const workspace = options.workspaces[number % options.workspaces.length] as { name: string, key: string }
    const database = options.databases[number % options.databases.length] as string
    let sessionNumber = 0
    while (!progress.isStopping) {
      const entry = options.entries[Math.floor(random() * options.entries.length)] as Machine
      const connection = await openCaller(entry.host, ports.callers, database, workspace.key)
      if (connection === null) await pause(100)
      else await runSession(connection, `c${number}.${sessionNumber++}`, workspace.name, database)
    }
  }

  async function ask (connection: CallerConnection, workspace: string, text: string, beginsOperation: boolean): Promise<Answer & { id: string }> {
    const id = `q${++idCount}`
    history.sent.set(id, { text, workspace, beginsOperation })
    return { id, ...await connection.query(id, text) }
  }

  async function runSession (connection: CallerConnection, item: string, workspace: string, database: string): Promise<void> {
    let count = 0
    let acknowledged = 0
    let acknowledgedInTerm = 0
    const length = 5 + Math.floor(random() * 40)
    await ask(connection, workspace, `SET owner ${item}`, false)
    for (let step = 0; step < length && connection.isOpen() && !progress.isStopping; step++) {
      await pause(random() * THINK_MS * 2)
      const kind = random()
      if (kind < 0.35) {
        count++
        const { id, told } = await ask(connection, workspace, `WRITE ${item} ${count}`, true)
        note(told, { id, item, count, workspace, told, isTransaction: false, at: Date.now() })
        if (told === 'done') [acknowledged, acknowledgedInTerm] = [count, options.termOf(database)]
      } else if (kind < 0.5) {
        count++
        const told = await transact(connection, item, count, workspace)
        if (told === 'done') [acknowledged, acknowledgedInTerm] = [count, options.termOf(database)]
      } else {
        const { told, rows } = await ask(connection, workspace, `READ ${item}`, true)
        note(told, null)
        if (told === 'done') checkRead(item, rows[0], acknowledged, acknowledgedInTerm === options.termOf(database), count)
      }
    }
    connection.close()
  }

  /** A session must see what it wrote itself; a promotion may take back commits where they wait for no replica. */
  function checkRead (item: string, row: string | undefined, acknowledged: number, isSameTerm: boolean, written: number): void {
    const seen = row === '-' ? 0 : Number(row)
    if (row === undefined || Number.isNaN(seen) || seen > written) history.violations.push(`MIXED: ${item} shows ${row ?? 'no row'}, ${written} was written last`)
    else if (seen < acknowledged && (isSameTerm || !options.mayLose)) history.violations.push(`STALE: ${item} shows ${seen} after ${acknowledged} was acknowledged`)
  }

  async function transact (connection: CallerConnection, item: string, count: number, workspace: string): Promise<Told> {
    const begun = await ask(connection, workspace, 'BEGIN', false)
    if (begun.told !== 'done') {
      note(begun.told, null)
      return 'unknown'
    }
    const written = await ask(connection, workspace, `WRITE ${item} ${count}`, true)
    if (written.told === 'done') {
      const { told, rows } = await ask(connection, workspace, `READ ${item}`, false)
      if (told === 'done' && rows[0] !== String(count)) history.violations.push(`PINNED: ${item} shows ${rows[0] ?? 'no row'} in the transaction that wrote ${count}`)
    }
    const isRolledBack = random() < 0.2
    const ended = await ask(connection, workspace, isRolledBack ? 'ROLLBACK' : 'COMMIT', false)
    const told: Told = written.told !== 'done' || isRolledBack ? 'not-kept' : ended.told
    // A transaction whose write failed is rolled back whatever its commit is answered.
    note(told === 'not-kept' ? ended.told : told, { id: written.id, item, count, workspace, told, isTransaction: true, at: Date.now() })
    return told
  }

  function note (told: Told, write: WriteRecord | null): void {
    if (told === 'done') history.served++
    else history.notServed++
    if (write !== null) history.writes.push(write)
  }

  const running = Array.from({ length: options.callers }, (_, number) => runCaller(number))
  return {
    history,
    stop: async () => {
      progress.isStopping = true
      await Promise.race([Promise.all(running), pause(5000)])
    }
  }
}

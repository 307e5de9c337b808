import type { Random } from '../src/utils/create-random.js'
import type { CallAnswer, CallerClient, CallerHeaders } from './caller-client.js'
import { callerStatements } from './caller-statements.js'
import { pause } from './wait.js'

const CALL_PAUSE_MS = 25
const RETRY_PAUSE_MS = 150
const MAX_RETRIES = 8
const STATEMENTS_IN_TRANSACTION = 2
const KEYED_SHARE = 0.5
const NON_IDEMPOTENT_SHARE = 0.3
const TRANSACTION_SHARE = 0.25

/**
 * Result of a write over all its attempts.
 * - `acknowledged`: an attempt succeeded
 * - `not-run`: every attempt was refused with the outcome `not-run`
 * - `open`: anything else; the write may have run
 */
export type WriteResult = 'acknowledged' | 'not-run' | 'open'

/** One write of a caller. Its value is unique among all writes. */
export interface SentWrite {
  workspace: string
  list: string
  value: string
  /** Value that identifies the transaction of the write; null for a write outside of a transaction. */
  transaction: string | null
  result: WriteResult
}

/** Calls, writes and violations that all callers observed together. */
export interface CallerRecord {
  writes: SentWrite[]
  staleReads: string[]
  wrongAnswers: string[]
  calls: number
  successes: number
}

/** Options of one session. `name` is also the key of its list. */
export interface SessionOptions {
  client: CallerClient
  workspace: string
  name: string
  /** Number of entry instances. */
  instances: number
  random: Random
  isRunning: () => boolean
  record: CallerRecord
}

interface AttemptedWrite {
  answer: CallAnswer
  result: WriteResult
}

/** A write stays open once an attempt may have run, unless a later attempt is acknowledged. */
function combineResult (earlier: WriteResult | null, answer: CallAnswer): WriteResult {
  if (answer.status === 200) return 'acknowledged'
  const isNotRun = answer.status !== 0 && answer.body.outcome === 'not-run'
  return isNotRun && earlier !== 'open' ? 'not-run' : 'open'
}

/** Runs one session through random instances until `isRunning` returns false. The session appends unique values to its own list and reads the list back. */
export async function runSession (options: SessionOptions): Promise<void> {
  const { client, workspace, name, random, record } = options
  let token: string | null = null
  const acknowledged: string[] = []

  const chooseInstance = (): number => Math.floor(random() * options.instances)

  async function call (path: string, body: unknown, headers: CallerHeaders = {}): Promise<CallAnswer> {
    const answer = await client.call(chooseInstance(), path, body, { session: token, ...headers })
    record.calls++
    if (answer.status === 200) record.successes++
    return answer
  }

  function recordWrite (value: string, transaction: string | null, result: WriteResult): void {
    record.writes.push({ workspace, list: name, value, transaction, result })
    if (result === 'acknowledged') acknowledged.push(value)
  }

  /** Sends a write. While its outcome is unknown, retries it under the same idempotency key; a write without a key is sent once. */
  async function sendWrite (value: string, headers: CallerHeaders): Promise<AttemptedWrite> {
    const body = { statement: callerStatements.append, values: [name, value] }
    let answer = await call('/v1/statements', body, headers)
    let result = combineResult(null, answer)
    for (let retry = 0; headers.idempotencyKey !== undefined && result === 'open' && retry < MAX_RETRIES; retry++) {
      await pause(RETRY_PAUSE_MS)
      answer = await call('/v1/statements', body, headers)
      result = combineResult(result, answer)
    }
    return { answer, result }
  }

  async function write (value: string): Promise<void> {
    const isKeyed = random() < KEYED_SHARE
    const { answer, result } = await sendWrite(value, {
      ...(isKeyed ? { idempotencyKey: value } : {}),
      nonIdempotent: random() < NON_IDEMPOTENT_SHARE
    })
    recordWrite(value, null, result)
    if (result !== 'acknowledged') return
    token = answer.session ?? token
    if (answer.body.rowCount !== 1 || (answer.body.rows ?? []).length > 0) record.wrongAnswers.push(`write ${value}: ${JSON.stringify(answer.body)}`)
  }

  async function runTransaction (value: string): Promise<void> {
    const begun = await call('/v1/transactions', {})
    if (begun.status !== 200) return
    const path = `/v1/transactions/${begun.body.transaction ?? ''}`
    const sent: string[] = []
    let isComplete = true
    for (let index = 0; index < STATEMENTS_IN_TRANSACTION; index++) {
      const answer = await call(`${path}/statements`, { statement: callerStatements.append, values: [name, `${value}.${index}`] })
      sent.push(`${value}.${index}`)
      isComplete &&= answer.status === 200
      if (!isComplete) break
    }
    const ended = isComplete ? await call(`${path}/commit`, {}) : await call(`${path}/rollback`, {})
    const result: WriteResult = isComplete ? combineResult(null, ended) : 'open'
    for (const statementValue of sent) recordWrite(statementValue, value, result)
    if (result === 'acknowledged') token = ended.session ?? token
  }

  /** Checks that the list contains every acknowledged value of the session and no value of another session. */
  async function readBack (): Promise<void> {
    const expected = acknowledged.slice()
    const answer = await call('/v1/statements', { statement: callerStatements.list, values: [name], access: 'read' })
    if (answer.status !== 200) return
    token = answer.session ?? token
    const seen = (answer.body.rows ?? []).map(({ value }) => String(value))
    const foreign = seen.find((value) => !value.startsWith(`${name}/`))
    if (foreign !== undefined) record.wrongAnswers.push(`read of ${name} gave ${foreign}`)
    const present = new Set(seen)
    const missing = expected.find((value) => !present.has(value))
    if (missing !== undefined) record.staleReads.push(`read of ${name} lacks ${missing}`)
  }

  for (let count = 0; options.isRunning(); count++) {
    const value = `${name}/${count}`
    if (random() < TRANSACTION_SHARE) await runTransaction(value)
    else await write(value)
    await readBack()
    await pause(CALL_PAUSE_MS)
  }
}

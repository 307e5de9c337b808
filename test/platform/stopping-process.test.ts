// Guards against requests that the process of a stopping entry instance has taken and that end without an answer.
import t from 'tap'
import { ports } from '../../soak/fleet.js'
import type { Answer, CallerConnection } from '../../soak/caller.js'
import { openCaller } from '../../soak/caller.js'
import type { ProcessFleet } from './fixtures/process-fleet.js'
import { KEY, startProcessFleet } from './fixtures/process-fleet.js'

/** Short, so that the test does not wait long for the process to end. */
const STOP_LIMIT_SECONDS = 2
/** Longer than the stop, so that no statement timeout answers a statement before the stop does. */
const STATEMENT_TIMEOUT_MS = 20_000
const ENDLESS_TRANSACTIONS = 8
/** The process answers or ends long before, also on a busy machine. */
const ANSWER_TIMEOUT_MS = 100_000

const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

let idCount = 0
const nextId = (): string => (++idCount).toString(16).padStart(16, '0')

async function openSession ({ entry }: ProcessFleet): Promise<CallerConnection> {
  const caller = await openCaller(entry.host, ports.callers, 'shop', KEY, ANSWER_TIMEOUT_MS)
  if (caller === null) throw new Error('the session was refused')
  return caller
}

/** @returns whether the connection ended, or the caller gave up, before the whole answer had arrived */
const isLost = ({ outcome, code }: Answer): boolean => outcome === 'unknown' && code === null

/** Sends a statement until it is done: before the instance has a share of the rate, it refuses operations. */
async function runUntilDone (caller: CallerConnection, text: string): Promise<void> {
  while ((await caller.query(nextId(), text)).outcome !== 'done') await pause(50)
}

/** Runs statements in an open transaction, each as soon as the one before is answered, until one is not done. */
async function writeUntilRefused (caller: CallerConnection): Promise<Answer> {
  for (;;) {
    const answer = await caller.query(nextId(), 'WRITE item value')
    if (answer.outcome !== 'done') return answer
  }
}

t.test('a planned stop answers the statements of transactions that last longer than the stop', async (t) => {
  const processes = await startProcessFleet((callback) => { t.teardown(callback) }, { stopLimitSeconds: STOP_LIMIT_SECONDS, statementTimeoutMs: STATEMENT_TIMEOUT_MS })
  const callers = await Promise.all(Array.from({ length: ENDLESS_TRANSACTIONS }, async () => await openSession(processes)))
  for (const caller of callers) await runUntilDone(caller, 'BEGIN')
  const running = callers.map(writeUntilRefused)
  const exited = processes.waitForExit(processes.entry)
  processes.fleet.signal(processes.entry, 'SIGTERM')
  const answers = await Promise.all(running)
  t.same(answers.filter(isLost), [], 'each last statement is answered')
  t.same(answers.map(({ code }) => code), answers.map(() => 'ABORTED'))
  t.same(await exited, { code: 0, signal: null })
})

t.test('a planned stop answers statements that a database does not answer until the process ends', async (t) => {
  const processes = await startProcessFleet((callback) => { t.teardown(callback) }, { stopLimitSeconds: STOP_LIMIT_SECONDS, statementTimeoutMs: STATEMENT_TIMEOUT_MS })
  const [reader, committer, writer] = [await openSession(processes), await openSession(processes), await openSession(processes)] as const
  await runUntilDone(reader, 'BEGIN')
  await runUntilDone(reader, 'READ item')
  await runUntilDone(committer, 'BEGIN')
  await runUntilDone(committer, 'WRITE item value')
  await runUntilDone(writer, 'WRITE item value')
  for (const database of processes.databases.values()) database.faults.answersToDrop = Infinity
  const pending = [reader.query(nextId(), 'READ item'), committer.query(nextId(), 'COMMIT'), writer.query(nextId(), 'WRITE item value')]
  const exited = processes.waitForExit(processes.entry)
  processes.fleet.signal(processes.entry, 'SIGTERM')
  const answers = await Promise.all(pending)
  t.same(answers.map(({ code }) => code), ['ABORTED', 'UNKNOWN', 'UNKNOWN'])
  t.same(await exited, { code: 0, signal: null })
})

t.test('a process that stands still as it closes sessions at rest answers what has arrived meanwhile', async (t) => {
  const processes = await startProcessFleet((callback) => { t.teardown(callback) }, { stopLimitSeconds: STOP_LIMIT_SECONDS, statementTimeoutMs: STATEMENT_TIMEOUT_MS })
  const callers = await Promise.all(Array.from({ length: ENDLESS_TRANSACTIONS }, async () => await openSession(processes)))
  for (const caller of callers) await runUntilDone(caller, 'READ item')
  const exited = processes.waitForExit(processes.entry)
  processes.fleet.signal(processes.entry, 'SIGTERM')
  // The process closes sessions at rest after 0.4 of the stop limit.
  await pause(STOP_LIMIT_SECONDS * 400 - 60)
  processes.fleet.signal(processes.entry, 'SIGSTOP')
  const ended = callers.map(async (caller): Promise<Answer> => {
    const begun = await caller.query(nextId(), 'BEGIN')
    return begun.outcome === 'done' ? await writeUntilRefused(caller) : begun
  })
  await pause(150)
  processes.fleet.signal(processes.entry, 'SIGCONT')
  t.same((await Promise.all(ended)).filter(isLost), [])
  t.same(await exited, { code: 0, signal: null })
})

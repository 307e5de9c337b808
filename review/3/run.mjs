// One front machine is stopped as in a rolling restart while clients are in the middle of transactions.
import { openSession } from '../lib/client.mjs'
import { pause } from '../lib/fleet.mjs'
import { isTrouble, runCase } from '../lib/scenario.mjs'

const GRACE_MS = 6000
const LOSS_SLACK_MS = 200
const SESSIONS = 24
const PAUSE_MS = 280
/** Work of a statement at the database: within the figures of the sheets, whose longest is 410 ms. */
const WORK_MS = 60
/** Transactions have 12 statements, the most that the pages allow; the last one is COMMIT. */
const STATEMENTS = 12
/** Time budgets and statement time-outs of the sheet. */
const LIMITS = { 'menu-read': { budgetMs: 12_000, timeoutMs: 3000 }, 'shop-sale': { budgetMs: 4000, timeoutMs: 1000 } }

let idCount = 0
const newId = () => (++idCount).toString(16).padStart(16, '0')

await runCase(import.meta.url, { workMs: () => WORK_MS }, async ({ fleet, service, record, now }) => {
  const [front] = fleet.frontMachines()
  const requests = []

  async function send (session, database, text, startedAt) {
    const request = { id: newId(), database, text, startedAt, sentAt: now(), answeredAt: null, answer: null }
    requests.push(request)
    request.answer = await session.query(request.id, text)
    request.answeredAt = now()
    return request.answer
  }

  async function runTransaction (session, database, number, delayMs) {
    await pause(delayMs)
    const startedAt = now()
    const isWriting = database === 'shop-sale'
    let answer = await send(session, database, isWriting ? 'BEGIN' : 'BEGIN READ', startedAt)
    for (let index = 1; index < STATEMENTS && answer.kind === 'done'; index++) {
      await pause(PAUSE_MS)
      const isLast = index === STATEMENTS - 1
      answer = await send(session, database, isLast ? 'COMMIT' : isWriting ? `WRITE item-${number} value-${index}` : `READ item-${number}`, startedAt)
    }
    session.close()
  }

  const sessions = []
  for (let number = 0; number < SESSIONS; number++) {
    const database = number % 2 === 0 ? 'menu-read' : 'shop-sale'
    const session = await openSession({ host: front.ip, port: fleet.ports.front, database, key: number % 4 < 2 ? 'noodle-key-1' : 'tailor-key-1' })
    if (session.refused !== undefined) throw new Error(session.refused)
    sessions.push({ session, database, number })
  }

  const stoppedAt = now()
  const child = front.process
  if (isTrouble) {
    record(`SIGTERM to ${front.node}`)
    child.kill('SIGTERM')
  }
  // Sessions are open already; their transactions begin 1.2 s to 2 s after the signal, while the machine still takes statements.
  const playing = sessions.map(({ session, database, number }) => runTransaction(session, database, number, 1200 + number * 800 / SESSIONS))
  if (isTrouble) {
    await pause(GRACE_MS)
    if (front.process === child) child.kill('SIGKILL')
  }
  await Promise.all(playing)
  record(`${front.node} ended: ${JSON.stringify(front.exits)}`)

  const runs = new Map(service.runs.filter(({ id }) => id !== '-').map((run) => [run.id, run]))
  const lost = requests.filter(({ answer }) => answer.kind === 'lost')
  record(`${requests.length} requests sent, ${requests.length - lost.length} answered, ${lost.length} without a whole answer`)
  const breaks = []
  for (const { id, database, text, startedAt, sentAt, answeredAt } of lost) {
    const run = runs.get(id)
    const { budgetMs, timeoutMs } = LIMITS[database]
    const description = `${id} ${text} on ${database}, sent ${sentAt - stoppedAt} ms after SIGTERM, cut ${answeredAt - stoppedAt} ms after SIGTERM, at the database: ${run === undefined ? 'not run' : `${run.outcome}, reached it ${run.at - stoppedAt} ms after SIGTERM`}`
    record(`lost: ${description}`)
    const isPlannedWork = answeredAt - stoppedAt <= GRACE_MS + 1000
    const isTimeReached = answeredAt - startedAt >= budgetMs || answeredAt - sentAt >= timeoutMs
    const isSlowDatabase = sentAt - stoppedAt <= 3000 && answeredAt - stoppedAt >= GRACE_MS * 5 / 6
    const counts = run !== undefined || answeredAt - sentAt > LOSS_SLACK_MS
    if (isPlannedWork && !isTimeReached && !isSlowDatabase && counts) breaks.push(description)
  }
  return breaks
})

// Commits wait for a replica (`sync_replicas` 1). The primary is lost for good, and all processes are killed while its successor is being appointed.
// ONLY=crash or ONLY=kill plays one of the two disruptions alone.
import { openSession } from '../lib/client.mjs'
import { pause } from '../lib/fleet.mjs'
import { order } from '../lib/operator.mjs'
import { buildConfig, isTrouble, runCase } from '../lib/scenario.mjs'

/** Longest wait, after the loss of the primary, for the call to the authority. Then the operator sends the config whose confirmation the final fault follows. */
const ELECTION_LIMIT_MS = 3000
/** All processes are back within a second. */
const DOWN_MS = 600
/** `recovery_s`. */
const RECOVERY_MS = 12_000
const MEASURED_MS = 10_000
const CLIENTS = 9
const ROUTES = ['shop-sale', 'room-book', 'menu-read']
const has = (disruption) => isTrouble && (process.env.ONLY ?? disruption) === disruption

await runCase(import.meta.url, { syncReplicas: 1 }, async ({ fleet, service, record, now }) => {
  const fronts = fleet.frontMachines()
  const requests = []
  const playing = { isEnding: false }
  let idCount = 0

  async function runClient (number) {
    const database = ROUTES[number % ROUTES.length]
    while (!playing.isEnding) {
      const session = await openSession({ host: fronts[number % fronts.length].ip, port: fleet.ports.front, database, key: 'noodle-key-1' })
      if (session.refused !== undefined) {
        requests.push({ sentAt: now(), isServed: false, outcome: session.refused })
        await pause(100)
        continue
      }
      while (!playing.isEnding && !session.isClosed) {
        const sentAt = now()
        const isWrite = database !== 'menu-read' && ++idCount % 3 === 0
        const answer = await session.query(`c${++idCount}`, isWrite ? `WRITE item-${number} value` : `READ item-${number}`)
        requests.push({ sentAt, isServed: answer.kind === 'done', outcome: answer.text ?? answer.kind })
        await pause(60)
      }
    }
  }

  const clients = Promise.all(Array.from({ length: CLIENTS }, (_, number) => runClient(number)))
  await pause(3000)
  if (has('crash')) {
    record(`${service.group.primary().id}, the primary, is lost for good`)
    service.crash(service.group.primary())
  }
  const lostAt = now()
  while (service.calls.length === 0 && now() - lostAt < ELECTION_LIMIT_MS) await pause(20)
  const confirmed = await order(fleet.controlAddresses(), 'POST', '/api/config/replace', buildConfig(8, service.name, { syncReplicas: 1 }), 3000)
  record(`config 8 confirmed: ${confirmed !== null}`)
  const nodes = [...fleet.machines.keys()]
  if (has('kill')) {
    record('final fault: all processes are killed')
    for (const node of nodes) fleet.machines.get(node).process?.kill('SIGKILL')
    await pause(DOWN_MS)
    for (const node of nodes) fleet.start(node)
    record('all processes have been started again')
  }
  const backAt = now()
  await pause(RECOVERY_MS)
  const measuredFrom = now()
  await pause(MEASURED_MS)
  playing.isEnding = true
  await clients

  function count (from, to, label) {
    const sent = requests.filter(({ sentAt }) => sentAt >= from && sentAt < to)
    const served = sent.filter(({ isServed }) => isServed).length
    const outcomes = [...new Set(sent.filter(({ isServed }) => !isServed).map(({ outcome }) => outcome))]
    record(`${label}: ${served} of ${sent.length} requests served; others: ${outcomes.slice(0, 4).join(' | ')}`)
    return served / Math.max(1, sent.length)
  }
  const before = count(0, backAt, 'until all processes were back')
  const after = count(measuredFrom, now(), `sent later than ${RECOVERY_MS} ms after that`)
  for (const call of service.calls) record(`POST /promote of ${call.id} by ${call.holder} with fence ${call.token} at ${call.at}: ${call.status}`)
  for (const { at, id } of service.group.promotions) record(`${id} leads from ${at} on`)
  return before >= 0.25 && after < 0.25 ? [`less than a quarter of the requests was served after the recovery time: ${(after * 100).toFixed(0)}%, before ${(before * 100).toFixed(0)}%`] : []
})

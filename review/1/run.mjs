// Commits wait for a replica (`sync_replicas` 1). While one replica is replaced as planned, the other receives nothing and the primary crashes.
import { openSession } from '../lib/client.mjs'
import { pause } from '../lib/fleet.mjs'
import { isTrouble, runCase } from '../lib/scenario.mjs'

/** A draining database serves for `drain_ms` after the confirmation and a little longer. */
const DRAIN_MS = 7200
/** `addr_reuse_s`: the new database starts at the address of the old one after this time. */
const SUCCESSOR_MS = 2000
/** `replica_lag`, `deaf crash`: one replica receives nothing for 6.5 s, and the primary crashes meanwhile. */
const DEAF_FROM_MS = 4500
const CRASH_AT_MS = 7300
const WRITERS = 6

await runCase(import.meta.url, { syncReplicas: 1 }, async ({ fleet, service, record, now }) => {
  const acknowledged = []
  const writing = { isEnding: false, done: null }
  let idCount = 0

  async function write (number) {
    const fronts = fleet.frontMachines()
    let session = null
    while (!writing.isEnding) {
      if (session === null || session.isClosed) session = await openSession({ host: fronts[number % fronts.length].ip, port: fleet.ports.front, database: 'shop-sale', key: 'noodle-key-1' })
      if (session.refused !== undefined) {
        session = null
        await pause(200)
        continue
      }
      const id = `w${++idCount}`
      const sentAt = now()
      const answer = await session.query(id, `WRITE sale-${id} deposit-${id}`)
      if (answer.kind === 'done') acknowledged.push({ id, at: now() })
      record(`writer ${number}: ${id} sent ${sentAt}, ${answer.kind} ${answer.code ?? ''}`)
      await pause(50)
    }
  }

  const [primary, replaced, behind] = service.members
  const startedAt = now()
  const at = async (offsetMs) => { await pause(Math.max(0, startedAt + offsetMs - now())) }
  writing.done = Promise.all(Array.from({ length: WRITERS }, (_, number) => write(number)))
  record(`${replaced.id} reports draining: confirmed ${await service.drain(replaced)}`)
  await at(DEAF_FROM_MS)
  if (isTrouble) {
    record(`${behind.id} receives nothing from now on`)
    service.group.setDeaf(behind, true)
    setTimeout(() => { service.group.setDeaf(behind, false) }, 6500)
  }
  await at(DRAIN_MS)
  const successor = service.replace(replaced, SUCCESSOR_MS)
  record(`${replaced.id} deregisters and ends; a new database gets its log and starts at its address in ${SUCCESSOR_MS} ms`)
  await at(CRASH_AT_MS)
  if (isTrouble) {
    record(`${primary.id} crashes`)
    service.crash(primary)
  }
  record(`${(await successor).id} has started with the log of ${replaced.id}`)
  await at(CRASH_AT_MS + 8000)
  writing.isEnding = true
  await writing.done

  const breaks = []
  for (const { at: promotedAt, id, token, holder, term, log } of service.group.promotions) {
    const held = new Set(log.map((entry) => entry.id))
    const missing = acknowledged.filter((commit) => commit.at <= promotedAt && !held.has(commit.id))
    record(`${id} is promoted at ${promotedAt} by ${holder} with fence ${token}: term ${term}, ${log.length} commits; ${missing.length} of ${acknowledged.length} acknowledged commits are not in its log`)
    if (missing.length > 0) breaks.push(`${id} was promoted without ${missing.length} acknowledged commits: ${missing[0].id} (acknowledged at ${missing[0].at} ms) to ${missing.at(-1).id} (at ${missing.at(-1).at} ms)`)
  }
  record(`${acknowledged.length} writes acknowledged, ${acknowledged.filter(({ at: when }) => when > CRASH_AT_MS + startedAt).length} of them after the crash`)
  return breaks
})

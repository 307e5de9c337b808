// Guards against needless failovers, which a slow primary, unresponsive connection holders or a new leader with few reports could
// cause, and against a lost, fenced or demoted primary that is never replaced.
import t from 'tap'
import { isPrimaryLost } from '../../../src/decisions/failover/primary-failure-detector.js'
import { milliseconds } from '../../../src/types/clock.js'
import { databaseId, groupId, instanceId } from '../../../src/types/ids.js'
import { buildRegisteredDatabase, buildRegisteredInstance } from './fixtures/group-harness.js'
import { buildStatus } from '../membership/fixtures/messages.js'

const NOW = 20_000
const primary = databaseId('p')
const servingStatus = buildStatus('p', { role: 'primary', term: 2, fencedTerm: 2 })

interface HolderCase {
  heartbeatAgoMs: number
  silentForMs: number
  status?: typeof servingStatus | null
}

interface DetectorCase {
  name: string
  holders: HolderCase[]
  announcedAgoMs?: number
  leadingForMs?: number
  servingForMs?: number
  lost: boolean
}

const silentHolder = { heartbeatAgoMs: 10, silentForMs: 1000 }
const seeingHolder = { heartbeatAgoMs: 10, silentForMs: 100 }

const cases: DetectorCase[] = [
  { name: 'all holders silent', holders: [silentHolder, silentHolder, silentHolder], lost: true },
  { name: 'two of three silent', holders: [silentHolder, silentHolder, seeingHolder], lost: true },
  { name: 'one of three silent', holders: [silentHolder, seeingHolder, seeingHolder], lost: false },
  { name: 'silence just below the limit', holders: [{ heartbeatAgoMs: 10, silentForMs: 999 }, { heartbeatAgoMs: 400, silentForMs: 999 }, silentHolder], lost: false },
  { name: 'holders without recent heartbeats do not count, even if they report silence', holders: [{ heartbeatAgoMs: 1400, silentForMs: 1500 }, { heartbeatAgoMs: 1400, silentForMs: 1500 }, seeingHolder], lost: false },
  { name: 'holders without recent heartbeats do not count, even if they report evidence', holders: [silentHolder, silentHolder, { heartbeatAgoMs: 1400, silentForMs: 0 }], lost: true },
  { name: 'a recent announcement', holders: [silentHolder, silentHolder, silentHolder], announcedAgoMs: 900, lost: false },
  { name: 'no holders', holders: [], lost: false },
  { name: 'a leader of less than a second, which has not received all announcements', holders: [silentHolder, silentHolder, silentHolder], leadingForMs: 900, lost: false },
  { name: 'a primary in service for less than a second', holders: [silentHolder, silentHolder, silentHolder], servingForMs: 900, lost: false },
  { name: 'a primary that became a replica', holders: [seeingHolder, seeingHolder, seeingHolder].map((holder) => ({ ...holder, status: buildStatus('p', { term: 2, fencedTerm: 2 }) })), lost: true },
  { name: 'a primary that was fenced for a newer term', holders: [seeingHolder, seeingHolder, seeingHolder].map((holder) => ({ ...holder, status: { ...servingStatus, fencedTerm: 3 } })), lost: true },
  { name: 'a primary that answers under an older term', holders: [seeingHolder, seeingHolder, seeingHolder].map((holder) => ({ ...holder, status: { ...servingStatus, term: 1 } })), lost: true },
  { name: 'a primary that no holder ever saw', holders: [silentHolder, silentHolder, silentHolder].map((holder) => ({ ...holder, status: null })), lost: true },
  { name: 'a primary that new holders have not seen yet', holders: [silentHolder, silentHolder, silentHolder].map((holder) => ({ ...holder, status: null })), servingForMs: 1005, lost: false }
]

for (const { name, holders, announcedAgoMs = 5000, leadingForMs = 10_000, servingForMs = 10_000, lost } of cases) {
  t.test(`${name}: the primary is ${lost ? '' : 'not '}replaced`, async (t) => {
    const names = holders.map((_, index) => instanceId(`i${index}`))
    const instances = new Map(holders.map(({ heartbeatAgoMs, silentForMs, status = servingStatus }, index) => {
      const arrivedAt = milliseconds(NOW - heartbeatAgoMs)
      return [instanceId(`i${index}`), buildRegisteredInstance(`i${index}`, { lastHeartbeatAt: arrivedAt, observations: new Map([[primary, { status, silentForMs, arrivedAt }]]) })]
    }))
    const registered = buildRegisteredDatabase(servingStatus, NOW - announcedAgoMs)
    const view = {
      now: milliseconds(NOW),
      leadership: { term: 1, since: milliseconds(NOW - leadingForMs) },
      group: groupId('g'),
      replicated: { group: groupId('g'), term: 2, primary, phase: 'serving' as const },
      members: [{ database: primary, address: registered.announcement.address, weight: 1, registered }],
      holders: names,
      instances
    }
    const servingSince = milliseconds(NOW - servingForMs)
    const history = { servingSince, holderSince: new Map(names.map((holder) => [holder, servingSince])) }
    t.equal(isPrimaryLost(view, history, { primarySilentMs: 1000, maxHeartbeatAgeMs: 1000 }), lost)
  })
}

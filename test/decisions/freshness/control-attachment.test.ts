// Guards against an entry instance that serves with a manifest or directory that is out of date. This happens when a control instance that
// was cut off, an answer to an earlier connection or a message of an older version renews the lease or replaces newer state.
import t from 'tap'
import fc from 'fast-check'
import { createBlackboard } from '../../../src/blackboard/blackboard.js'
import { freshnessEntry, manifestEntry } from '../../../src/blackboard/entry-instance-entries.js'
import { createControlAttachment } from '../../../src/decisions/freshness/control-attachment.js'
import type { AttachmentEffect } from '../../../src/decisions/freshness/control-attachment.js'
import { createRecentAnnouncements } from '../../../src/decisions/freshness/recent-announcements.js'
import type { AnnouncementMessage, ControlToEntry, Heartbeat, HeartbeatAnswer } from '../../../src/types/control-message.js'
import type { Announcement } from '../../../src/types/database-status.js'
import { address, databaseId, failureDomainId, groupId, incarnationId, instanceId } from '../../../src/types/ids.js'
import type { Manifest } from '../../../src/types/manifest.js'
import { createFakeClock } from '../../support/fake-clock.js'

const members = [address('a:1'), address('b:1'), address('c:1')]
const content: Manifest = { formatVersion: 1, failureDomains: [], groups: [], workspaces: [], routes: [] }
const directoryVersion = { leaderTerm: 1, counter: 1 }

function createParts (recentAnnouncements: () => AnnouncementMessage[] = () => []) {
  const clock = createFakeClock()
  const blackboard = createBlackboard()
  const applied: number[] = []
  const attachment = createControlAttachment({
    clock,
    blackboard,
    members,
    logEvent: () => {},
    onServiceLevelAcknowledgement: () => {},
    recentAnnouncements,
    applyShares: (_answer, sentAt) => { applied.push(sentAt) },
    composeHeartbeat: (core) => ({
      version: 1,
      kind: 'heartbeat',
      ...core,
      instance: instanceId('entry-1'),
      incarnation: incarnationId('run-1'),
      peerAddress: address('e:1'),
      failureDomain: failureDomainId('north'),
      draining: false,
      held: [],
      demand: [],
      observations: [],
      releasedTerms: []
    })
  })
  const receive = (message: ControlToEntry): AttachmentEffect[] => attachment.handle({ kind: 'received', message })
  return { clock, attachment, receive, applied, manifest: blackboard.reader(manifestEntry), freshness: blackboard.reader(freshnessEntry) }
}

function buildAnnouncement (name: string): Announcement {
  const database = databaseId(name)
  const status = { database, incarnation: incarnationId('run-1'), role: 'replica' as const, term: 1, fencedTerm: 0, position: { term: 1, offset: 0 }, ageMs: 0 }
  return { database, group: groupId('group-1'), address: address('d:1'), failureDomain: failureDomainId('north'), departing: false, status }
}

function buildAnswer (sequence: number, change: Partial<HeartbeatAnswer> = {}): HeartbeatAnswer {
  return { version: 1, kind: 'heartbeat-answer', sequence, leaderTerm: 1, manifestVersion: 1, directoryVersion, shares: [], ...change }
}

function findHeartbeat (effects: AttachmentEffect[]): Heartbeat {
  const sentHeartbeat = effects.find((effect) => effect.kind === 'send')
  if (sentHeartbeat?.kind !== 'send' || sentHeartbeat.message.kind !== 'heartbeat') throw new Error('no heartbeat was sent')
  return sentHeartbeat.message
}

function attach (parts: ReturnType<typeof createParts>): Heartbeat {
  parts.attachment.tick()
  const heartbeat = findHeartbeat(parts.attachment.handle({ kind: 'connected' }))
  parts.receive({ version: 1, kind: 'manifest', manifestVersion: 1, manifest: content })
  parts.receive({ version: 1, kind: 'directory', directory: { version: directoryVersion, instances: [], groups: [], databases: [] } })
  return heartbeat
}

t.test('the lease starts when the heartbeat was sent, not when its answer arrived', async (t) => {
  const parts = createParts()
  const sentAt = parts.clock.now()
  const heartbeat = attach(parts)
  parts.clock.advance(300)
  parts.receive(buildAnswer(heartbeat.sequence))
  t.equal(parts.freshness.read().confirmedAt, sentAt)
  t.equal(parts.freshness.read().validUntil, sentAt + 1500)
})

const refusedAnswers: [string, Partial<HeartbeatAnswer>][] = [
  ['names a manifest that the instance does not hold yet', { manifestVersion: 2 }],
  ['names a directory that the instance does not hold yet', { directoryVersion: { leaderTerm: 1, counter: 2 } }],
  ['answers a heartbeat that was never sent', { sequence: 99 }]
]
for (const [reason, change] of refusedAnswers) {
  t.test(`an answer gives no lease when it ${reason}`, async (t) => {
    const parts = createParts()
    const heartbeat = attach(parts)
    parts.receive(buildAnswer(heartbeat.sequence, change))
    t.equal(parts.freshness.read().validUntil, 0)
  })
}

t.test('an instance leaves an unresponsive control instance after 400 ms and dials the next one', async (t) => {
  const parts = createParts()
  attach(parts)
  parts.clock.advance(401)
  t.same(parts.attachment.tick(), [{ kind: 'close-connection' }])
  parts.clock.advance(50)
  t.same(parts.attachment.tick(), [{ kind: 'dial', address: members[1] }])
})

t.test('an instance does not leave a control instance while bytes of its answer still arrive', async (t) => {
  const parts = createParts()
  attach(parts)
  parts.clock.advance(300)
  parts.attachment.handle({ kind: 'bytes-received' })
  parts.clock.advance(300)
  t.notMatch(parts.attachment.tick(), [{ kind: 'close-connection' }])
  parts.clock.advance(101)
  t.same(parts.attachment.tick(), [{ kind: 'close-connection' }])
})

t.test('a follower redirects the instance to the leader that it names', async (t) => {
  const parts = createParts()
  attach(parts)
  const effects = parts.receive({ version: 1, kind: 'not-leader', leaderAddress: address('c:1') })
  t.same(effects, [{ kind: 'close-connection' }, { kind: 'dial', address: members[2] }])
})

t.test('an answer to a heartbeat of the previous connection gives no lease', async (t) => {
  const parts = createParts()
  const heartbeat = attach(parts)
  parts.receive({ version: 1, kind: 'not-leader', leaderAddress: address('c:1') })
  parts.attachment.tick()
  parts.attachment.handle({ kind: 'connected' })
  parts.receive(buildAnswer(heartbeat.sequence))
  t.equal(parts.freshness.read().validUntil, 0)
})

t.test('an older leader cannot renew the lease after an answer of a newer leader', async (t) => {
  const parts = createParts()
  const first = attach(parts)
  parts.receive(buildAnswer(first.sequence, { leaderTerm: 5 }))
  parts.clock.advance(500)
  const second = findHeartbeat(parts.attachment.tick())
  parts.receive(buildAnswer(second.sequence, { leaderTerm: 4 }))
  t.equal(parts.freshness.read().leaderTerm, 5)
  t.equal(parts.freshness.read().confirmedAt, 1000)
})

t.test('a manifest never reverts, whatever order its versions arrive in', async (t) => {
  const neverReverts = fc.property(fc.array(fc.integer({ min: 1, max: 20 })), (versions) => {
    const parts = createParts()
    attach(parts)
    let highest = 1
    for (const version of versions) {
      parts.receive({ version: 1, kind: 'manifest', manifestVersion: version, manifest: content })
      highest = Math.max(highest, version)
      if (parts.manifest.read()?.version !== highest) return false
    }
    return true
  })
  t.doesNotThrow(() => { fc.assert(neverReverts, { seed: 20261204 }) })
})

t.test('a new leader receives the recent announcements at once, so that it need not wait for the next ones', async (t) => {
  const clock = createFakeClock()
  const announcements = createRecentAnnouncements(clock)
  const first = announcements.keep(buildAnnouncement('database-1'))
  clock.advance(2900)
  const second = announcements.keep(buildAnnouncement('database-2'))
  t.same(announcements.list(), [{ ...first, ageMs: 2900 }, second])
  clock.advance(200)
  t.same(announcements.list(), [{ ...second, ageMs: 200 }], 'an announcement older than three intervals is not sent again')

  const parts = createParts(announcements.list)
  parts.attachment.tick()
  const sentKinds = parts.attachment.handle({ kind: 'connected' }).filter((effect) => effect.kind === 'send').map(({ message }) => message.kind)
  t.same(sentKinds, ['heartbeat', 'announcement'])
})

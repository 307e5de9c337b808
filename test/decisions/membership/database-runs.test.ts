// Guards against late announcements that bring an ended or replaced database back, and against a new leader that does not know which
// databases are departing. Announcements may be delivered after the end of their incarnation.
import t from 'tap'
import { buildAnnouncedStatus, classifyAnnouncement, buildRecordedAnnouncement } from '../../../src/decisions/membership/announcement-classification.js'
import { applyCommand, createEmptyReplicatedState } from '../../../src/decisions/manifest/apply-command.js'
import type { Announcement } from '../../../src/types/database-status.js'
import { address, databaseId, failureDomainId, groupId } from '../../../src/types/ids.js'
import type { DatabaseRecord } from '../../../src/types/replicated-state.js'

function buildAnnouncement (name: string, startedAt: number, changes: Partial<Announcement> = {}, gone = false): Announcement {
  const database = databaseId(name)
  return { database, group: groupId('g'), address: address('10.0.0.1:1'), failureDomain: failureDomainId('f'), departing: false, run: { startedAt, sequence: 1, gone }, status: buildAnnouncedStatus(database, startedAt, 'replica'), ...changes }
}

function recordOf (given: Announcement, records: DatabaseRecord[] = []): DatabaseRecord {
  const verdict = classifyAnnouncement(records, given)
  if (verdict.kind !== 'new') throw new Error(verdict.kind)
  return verdict.record
}

t.test('a first announcement and a change of role or state need a new record, a repeated announcement does not', async (t) => {
  const record = recordOf(buildAnnouncement('d', 10))
  t.match(record, { database: 'd', startedAt: 10, state: 'ready', role: 'replica' })
  t.equal(classifyAnnouncement([record], buildAnnouncement('d', 10)).kind, 'known')
  t.equal(classifyAnnouncement([record], buildAnnouncement('d', 10, { departing: true })).kind, 'new')
  t.equal(classifyAnnouncement([record], buildAnnouncement('d', 10, { status: buildAnnouncedStatus(databaseId('d'), 10, 'primary') })).kind, 'new')
})

t.test('an announcement of an earlier incarnation, or of one that has ended, is ignored', async (t) => {
  const record = recordOf(buildAnnouncement('d', 10))
  t.equal(classifyAnnouncement([record], buildAnnouncement('d', 9)).kind, 'ignored')
  const gone = recordOf(buildAnnouncement('d', 10, {}, true), [record])
  t.equal(classifyAnnouncement([gone], buildAnnouncement('d', 10)).kind, 'ignored')
  t.equal(classifyAnnouncement([gone], buildAnnouncement('d', 11)).kind, 'new')
})

t.test('a departing database stays departing for the rest of its incarnation, at every leader', async (t) => {
  const record = recordOf(buildAnnouncement('d', 10, { departing: true }))
  t.match(classifyAnnouncement([record], buildAnnouncement('d', 10)), { kind: 'known', announcement: { departing: true } })
  t.equal(buildRecordedAnnouncement(record).departing, true)
  t.match(classifyAnnouncement([record], buildAnnouncement('d', 11)), { kind: 'new', announcement: { departing: false } })
})

t.test('a later incarnation at an address replaces the database that was there, whose late announcements are ignored', async (t) => {
  let state = createEmptyReplicatedState()
  for (const given of [buildAnnouncement('old', 10), buildAnnouncement('new', 11)]) {
    state = applyCommand(state, { kind: 'record-database', database: recordOf(given, state.databases) }).state
  }
  t.same(state.databases.map(({ database }) => database), ['new'])
  t.equal(classifyAnnouncement(state.databases, buildAnnouncement('old', 10)).kind, 'ignored')
})

t.test('the record of an earlier incarnation changes nothing when it reaches the log late', async (t) => {
  const late = recordOf(buildAnnouncement('d', 9))
  const state = applyCommand(createEmptyReplicatedState(), { kind: 'record-database', database: recordOf(buildAnnouncement('d', 10)) }).state
  t.equal(applyCommand(state, { kind: 'record-database', database: late }).state, state)
})

t.test('a record that supersedes one with a later start takes its place, also beside commands of earlier versions', async (t) => {
  const later = recordOf(buildAnnouncement('d', 99))
  const earlier = recordOf(buildAnnouncement('d', 10))
  const state = applyCommand(createEmptyReplicatedState(), { kind: 'record-database', database: later }).state
  t.same(applyCommand(state, { kind: 'record-database', database: earlier, superseded: [{ database: later.database, startedAt: 98 }] }).state, state, 'another incarnation is named')
  t.same(applyCommand(state, { kind: 'record-database', database: earlier, superseded: [{ database: later.database, startedAt: 99 }] }).state.databases, [earlier])
  const other = recordOf(buildAnnouncement('e', 100))
  t.same(applyCommand(state, { kind: 'record-database', database: other, superseded: [] }).state.databases, [later, other], 'only the named records are replaced')
  t.same(applyCommand(state, { kind: 'record-database', database: other }).state.databases, [other], 'a command without names follows the rule of its version')
})

t.test('more entries than the log keeps drop no record of a running database', async (t) => {
  const LIMIT = 8192
  const running = recordOf(buildAnnouncement('d', 10, { address: address('10.0.0.9:1') }))
  const groups = [{ id: running.group, slots: 5, connections: 30 }]
  const manifest = { formatVersion: 1 as const, failureDomains: [], groups, workspaces: [], routes: [] }
  const kinds: { name: string, change: Partial<DatabaseRecord> }[] = [{ name: 'of a group that no manifest names', change: { group: groupId('nobody') } }, { name: 'that nothing has confirmed', change: { unconfirmed: true } }, { name: 'of databases that are gone', change: { state: 'gone' } }]
  for (const { name, change } of kinds) {
    const odd = Array.from({ length: LIMIT - 1 }, (_, index): DatabaseRecord => ({ ...running, database: databaseId(`odd-${index}`), address: address(`10.9.0.${index}:1`), ...change }))
    const added = { ...running, database: databaseId('new'), address: address('10.0.0.8:1') }
    const { databases } = applyCommand({ ...createEmptyReplicatedState(), manifest, databases: [running, ...odd] }, { kind: 'record-database', database: added, superseded: [] }).state
    t.equal(databases.length, LIMIT)
    t.same([databases[0]?.database, databases.at(-1)?.database], ['d', 'new'], name)
    t.notOk(databases.some(({ database }) => database === 'odd-0'), 'the one that has not changed for the longest time')
  }
})

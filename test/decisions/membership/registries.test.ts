// Delayed, repeated or reordered messages must not keep a lost instance or a departed database registered, and must not replace a
// running incarnation by an earlier one for good.
import t from 'tap'
import { createBlackboard } from '../../../src/blackboard/blackboard.js'
import { registeredDatabasesEntry, registeredInstancesEntry } from '../../../src/blackboard/control-instance-entries.js'
import { createDatabaseRegistry } from '../../../src/decisions/membership/database-registry.js'
import { createInstanceRegistry } from '../../../src/decisions/membership/instance-registry.js'
import { milliseconds } from '../../../src/types/clock.js'
import { databaseId, incarnationId, instanceId } from '../../../src/types/ids.js'
import { buildAnnouncement, buildHeartbeat, buildStatus } from './fixtures/messages.js'

interface HeartbeatStep { at: number, run: string, sequence: number, outcome: string, draining?: boolean }

const heartbeatCases: { name: string, steps: HeartbeatStep[], run: string | undefined }[] = [
  { name: 'a repeated or delayed heartbeat does not keep a silent instance registered', steps: [{ at: 0, run: 'a', sequence: 2, outcome: 'joined' }, { at: 1400, run: 'a', sequence: 2, outcome: 'ignored' }, { at: 1510, run: 'a', sequence: 1, outcome: 'ignored' }], run: undefined },
  { name: 'a new incarnation replaces the former one, whose late heartbeats are ignored', steps: [{ at: 0, run: 'a', sequence: 9, outcome: 'joined' }, { at: 100, run: 'b', sequence: 1, outcome: 'joined' }, { at: 200, run: 'a', sequence: 10, outcome: 'ignored' }], run: 'b' },
  { name: 'an incarnation that a late heartbeat replaced wrongly is accepted again after one lease', steps: [{ at: 0, run: 'b', sequence: 5, outcome: 'joined' }, { at: 10, run: 'a', sequence: 90, outcome: 'joined' }, { at: 500, run: 'b', sequence: 6, outcome: 'ignored' }, { at: 1600, run: 'b', sequence: 7, outcome: 'joined' }], run: 'b' },
  { name: 'the start of draining counts as a change, so that holders move', steps: [{ at: 0, run: 'a', sequence: 1, outcome: 'joined' }, { at: 500, run: 'a', sequence: 2, outcome: 'unchanged' }, { at: 1000, run: 'a', sequence: 3, outcome: 'changed', draining: true }], run: 'a' },
  { name: 'an instance stays registered for a whole lease with clock drift', steps: [{ at: 100, run: 'a', sequence: 1, outcome: 'joined' }], run: 'a' }
]

for (const { name, steps, run } of heartbeatCases) {
  t.test(name, async (t) => {
    const blackboard = createBlackboard()
    let now = 0
    const registry = createInstanceRegistry({ blackboard, clock: { now: () => milliseconds(now) } })
    for (const step of steps) {
      now = step.at
      registry.tick()
      t.equal(registry.handle(buildHeartbeat(step.sequence, { incarnation: incarnationId(step.run), draining: step.draining ?? false })), step.outcome, `at ${step.at}`)
    }
    now = Math.max(1600, now)
    registry.tick()
    t.equal(blackboard.reader(registeredInstancesEntry).read().get(instanceId('i'))?.incarnation, run)
  })
}

t.test('the contact of an instance begins anew after a gap between its heartbeats, and with a new incarnation', async (t) => {
  const blackboard = createBlackboard()
  let now = 0
  const registry = createInstanceRegistry({ blackboard, clock: { now: () => milliseconds(now) } })
  const steps = [{ at: 0, run: 'a', since: 0 }, { at: 900, run: 'a', since: 0 }, { at: 1500, run: 'a', since: 0 }, { at: 2700, run: 'a', since: 2700 }, { at: 3200, run: 'b', since: 3200 }]
  for (const [index, { at, run, since }] of steps.entries()) {
    now = at
    registry.handle(buildHeartbeat(index + 1, { incarnation: incarnationId(run) }))
    t.equal(blackboard.reader(registeredInstancesEntry).read().get(instanceId('i'))?.inContactSince, milliseconds(since), `at ${at}`)
  }
})

interface AnnouncementStep { at: number, run: string, departing: boolean, outcome: string }

const announcementCases: { name: string, steps: AnnouncementStep[], departing: boolean | undefined, until: number }[] = [
  { name: 'a delayed older announcement does not bring a departing database back', steps: [{ at: 0, run: 'a', departing: false, outcome: 'announced' }, { at: 100, run: 'a', departing: true, outcome: 'departing' }, { at: 200, run: 'a', departing: false, outcome: 'unchanged' }], departing: true, until: 200 },
  { name: 'a canceled departure ends after two announcement intervals', steps: [{ at: 0, run: 'a', departing: true, outcome: 'announced' }, { at: 1000, run: 'a', departing: false, outcome: 'unchanged' }, { at: 2000, run: 'a', departing: false, outcome: 'returned' }], departing: false, until: 2000 },
  { name: 'a restarted database is no longer departing, and announcements of its former incarnation are ignored', steps: [{ at: 0, run: 'a', departing: true, outcome: 'announced' }, { at: 500, run: 'b', departing: false, outcome: 'returned' }, { at: 600, run: 'a', departing: true, outcome: 'ignored' }], departing: false, until: 600 },
  { name: 'an incarnation that a late announcement replaced wrongly is accepted again', steps: [{ at: 0, run: 'b', departing: false, outcome: 'announced' }, { at: 10, run: 'a', departing: true, outcome: 'departing' }, { at: 1000, run: 'b', departing: false, outcome: 'ignored' }, { at: 4000, run: 'b', departing: false, outcome: 'returned' }], departing: false, until: 4000 },
  { name: 'a departed database is removed, so that it no longer counts for the majority', steps: [{ at: 0, run: 'a', departing: true, outcome: 'announced' }], departing: undefined, until: 10_001 },
  { name: 'a silent database that is not departing stays registered, because it may hold acknowledged writes', steps: [{ at: 0, run: 'a', departing: false, outcome: 'announced' }], departing: false, until: 3_600_000 }
]

for (const { name, steps, departing, until } of announcementCases) {
  t.test(name, async (t) => {
    const blackboard = createBlackboard()
    let now = 0
    const registry = createDatabaseRegistry({ blackboard, clock: { now: () => milliseconds(now) } })
    for (const step of steps) {
      now = step.at
      t.equal(registry.announce(buildAnnouncement(buildStatus('d', { incarnation: incarnationId(step.run) }), step.departing)), step.outcome, `at ${step.at}`)
    }
    now = until
    registry.tick()
    t.equal(blackboard.reader(registeredDatabasesEntry).read().get(databaseId('d'))?.departing, departing)
  })
}

t.test('an announcement that is repeated to a new leader counts from the time at which it first arrived', async (t) => {
  const blackboard = createBlackboard()
  const registry = createDatabaseRegistry({ blackboard, clock: { now: () => milliseconds(5000) } })
  const announcedAt = () => blackboard.reader(registeredDatabasesEntry).read().get(databaseId('d'))?.announcedAt
  registry.announce(buildAnnouncement(buildStatus('d')), 800)
  t.equal(announcedAt(), 4200)
  t.equal(registry.announce(buildAnnouncement(buildStatus('d')), 2000), 'ignored')
  t.equal(announcedAt(), 4200)
})

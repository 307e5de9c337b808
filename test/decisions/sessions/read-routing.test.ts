// Guards against reads from a database that lacks the session's writes, is too stale, or may not serve reads of this instance.
import t from 'tap'
import { pickByFreeSlots, selectQualifyingDatabases, type ReadCandidate, type ReadRequirement } from '../../../src/decisions/sessions/read-routing.js'
import { databaseId } from '../../../src/types/ids.js'

const position = { term: 2, offset: 10 }

function createCandidate (name: string, change: Partial<ReadCandidate> = {}): ReadCandidate {
  return { database: databaseId(name), primary: false, weight: 1, isCurrent: true, position, ageMs: 100, hasShare: true, freeSlots: 2, ...change }
}

const primary = createCandidate('primary', { primary: true, ageMs: 0 })

function selectNames (candidates: ReadCandidate[], requirement: Partial<ReadRequirement> = {}): string[] {
  const complete = { required: null, primaryOnly: false, oldestAgeMs: null, canUsePrimary: false, ...requirement }
  return selectQualifyingDatabases(candidates, complete).map((entry) => entry.database)
}

const unfitReplicas: { fault: string, change: Partial<ReadCandidate>, requirement?: Partial<ReadRequirement> }[] = [
  { fault: 'is behind the session', change: { position: { term: 2, offset: 9 } }, requirement: { required: position } },
  { fault: 'has more log entries of an earlier term', change: { position: { term: 1, offset: 99 } }, requirement: { required: position } },
  { fault: 'has no known position', change: { position: null } },
  { fault: 'is staler than the caller accepts', change: { ageMs: 101 }, requirement: { oldestAgeMs: 100 } },
  { fault: 'gets no new work', change: { weight: 0 } },
  { fault: 'has an outdated status or another term', change: { isCurrent: false } },
  { fault: 'has no share at this instance', change: { hasShare: false } }
]

for (const { fault, change, requirement = {} } of unfitReplicas) {
  t.test(`a replica that ${fault} is not selected, and the primary only after the wait`, async (t) => {
    t.same(selectNames([createCandidate('fit'), createCandidate('unfit', change)], requirement), ['fit'])
    t.same(selectNames([primary, createCandidate('unfit', change)], requirement), [])
    t.same(selectNames([primary, createCandidate('unfit', change)], { ...requirement, canUsePrimary: true }), ['primary'])
  })
}

t.test('a read that requires the primary is served by the primary in force only', async (t) => {
  t.same(selectNames([primary, createCandidate('replica')], { primaryOnly: true }), ['primary'])
  t.same(selectNames([{ ...primary, isCurrent: false }, createCandidate('replica')], { primaryOnly: true, canUsePrimary: true }), [])
})

t.test('reads are distributed in proportion to weight and free slots', async (t) => {
  const candidates = [createCandidate('full', { freeSlots: 0 }), createCandidate('a', { freeSlots: 3 }), createCandidate('b', { freeSlots: 2, weight: 0.5 })]
  const counts = new Map<string, number>()
  for (let step = 0; step < 100; step++) {
    const picked = pickByFreeSlots(candidates, () => step / 100)?.database ?? ''
    counts.set(picked, (counts.get(picked) ?? 0) + 1)
  }
  t.same([...counts], [['a', 75], ['b', 25]])
  t.equal(pickByFreeSlots([createCandidate('full', { freeSlots: 0 })], () => 0), null)
})

import t from 'tap'
import { pickByFreeSlots, qualifyingDatabases, type ReadCandidate, type ReadRequirement } from '../../../src/decisions/sessions/read-routing.js'
import { databaseId } from '../../../src/types/ids.js'

const position = { term: 2, offset: 10 }

function candidate (name: string, change: Partial<ReadCandidate> = {}): ReadCandidate {
  return { database: databaseId(name), primary: false, weight: 1, current: true, position, ageMs: 100, shared: true, freeSlots: 2, ...change }
}

const primary = candidate('primary', { primary: true, ageMs: 0 })

function names (candidates: ReadCandidate[], requirement: Partial<ReadRequirement> = {}): string[] {
  const complete = { required: null, primaryOnly: false, oldestAgeMs: null, mayUsePrimary: false, ...requirement }
  return qualifyingDatabases(candidates, complete).map((entry) => entry.database)
}

const unfit: { fault: string, change: Partial<ReadCandidate>, requirement?: Partial<ReadRequirement> }[] = [
  { fault: 'is behind the session', change: { position: { term: 2, offset: 9 } }, requirement: { required: position } },
  { fault: 'has more entries of an earlier term', change: { position: { term: 1, offset: 99 } }, requirement: { required: position } },
  { fault: 'has no known position', change: { position: null } },
  { fault: 'is older than the caller accepts', change: { ageMs: 101 }, requirement: { oldestAgeMs: 100 } },
  { fault: 'gets no new work', change: { weight: 0 } },
  { fault: 'has an old status or another term', change: { current: false } },
  { fault: 'has no share at this instance', change: { shared: false } }
]

for (const { fault, change, requirement = {} } of unfit) {
  t.test(`a replica that ${fault} is not read, and the primary only after the wait`, async (t) => {
    t.same(names([candidate('fit'), candidate('unfit', change)], requirement), ['fit'])
    t.same(names([primary, candidate('unfit', change)], requirement), [])
    t.same(names([primary, candidate('unfit', change)], { ...requirement, mayUsePrimary: true }), ['primary'])
  })
}

t.test('a session without a token reads only from the primary, and never from one that is not in force', async (t) => {
  t.same(names([primary, candidate('replica')], { primaryOnly: true }), ['primary'])
  t.same(names([{ ...primary, current: false }, candidate('replica')], { primaryOnly: true, mayUsePrimary: true }), [])
})

t.test('reads spread in proportion to weight and free slots', async (t) => {
  const candidates = [candidate('full', { freeSlots: 0 }), candidate('a', { freeSlots: 3 }), candidate('b', { freeSlots: 2, weight: 0.5 })]
  const counts = new Map<string, number>()
  for (let step = 0; step < 100; step++) {
    const picked = pickByFreeSlots(candidates, () => step / 100)?.database ?? ''
    counts.set(picked, (counts.get(picked) ?? 0) + 1)
  }
  t.same([...counts], [['a', 75], ['b', 25]])
  t.equal(pickByFreeSlots([candidate('full', { freeSlots: 0 })], () => 0), null)
})

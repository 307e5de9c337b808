// Guards against the loss of an acknowledged write, which happens when an election promotes a database that lacks the write.
import fc from 'fast-check'
import t from 'tap'
import { choosePrimary } from '../../../src/decisions/failover/choose-primary.js'
import type { FencedDatabase } from '../../../src/decisions/failover/choose-primary.js'
import { databaseId } from '../../../src/types/ids.js'
import { isAtOrPast } from '../../../src/types/log-position.js'
import { buildStatus } from '../membership/fixtures/messages.js'

const fenced = (name: string, term: number, offset: number, weight = 1): FencedDatabase => ({ database: databaseId(name), weight, status: buildStatus(name, { position: { term, offset } }) })

const cases: { name: string, candidates: FencedDatabase[], preferred: string | null, chosen: string }[] = [
  { name: 'a longer log of an older term is behind a shorter one of a newer term', candidates: [fenced('a', 1, 90), fenced('b', 2, 80)], preferred: null, chosen: 'b' },
  { name: 'the target of a switchover is chosen if it is as far as the others', candidates: [fenced('a', 1, 9), fenced('b', 1, 9)], preferred: 'b', chosen: 'b' },
  { name: 'the target of a switchover is not chosen if it is behind', candidates: [fenced('a', 1, 9), fenced('b', 1, 8)], preferred: 'b', chosen: 'a' },
  { name: 'a database of weight 0 is not chosen if another is as far', candidates: [fenced('a', 1, 9, 0), fenced('b', 1, 9, 0.1)], preferred: 'a', chosen: 'b' },
  { name: 'the greater weight goes first at the same position', candidates: [fenced('a', 1, 9, 0.1), fenced('b', 1, 9, 1)], preferred: null, chosen: 'b' },
  { name: 'the furthest database is chosen even with weight 0, so that no write is lost', candidates: [fenced('a', 1, 9, 0), fenced('b', 1, 8)], preferred: 'b', chosen: 'a' }
]
for (const { name, candidates, preferred, chosen } of cases) {
  t.test(name, async (t) => {
    const target = preferred === null ? null : databaseId(preferred)
    t.equal(choosePrimary(candidates, target)?.database, chosen)
    t.equal(choosePrimary([...candidates].reverse(), target)?.database, chosen, 'in any order of answers')
  })
}

t.test('the chosen database is at or past every position of the majority, and has weight 0 only if no other is as far', async (t) => {
  const candidate = fc.record({ term: fc.integer({ min: 1, max: 3 }), offset: fc.integer({ min: 0, max: 5 }), weight: fc.constantFrom(0, 0.1, 1) })
  t.doesNotThrow(() => fc.assert(fc.property(fc.array(candidate, { minLength: 1, maxLength: 5 }), fc.nat(5), (generated, preferred) => {
    const candidates = generated.map(({ term, offset, weight }, index) => fenced(`d${index}`, term, offset, weight))
    const chosen = choosePrimary(candidates, databaseId(`d${preferred}`))
    if (chosen === undefined) throw new Error('no database was chosen')
    const isAsFar = (other: FencedDatabase) => isAtOrPast(other.status.position, chosen.status.position)
    if (!candidates.every((other) => isAtOrPast(chosen.status.position, other.status.position))) throw new Error('the chosen database is behind another one')
    if (chosen.weight === 0 && candidates.some((other) => other.weight > 0 && isAsFar(other))) throw new Error('a database of weight 0 was chosen although another is as far')
  }), { seed: 20261204, numRuns: 500 }))
})

import fc from 'fast-check'
import t from 'tap'
import type { Entry } from './fixtures/announced-databases.js'
import { startLeader } from './fixtures/announced-databases.js'

// Sends odd entries of all kinds beside the announcements of running databases, with changes of leadership between them. Guards against an entry
// that makes the leader throw, is published with values that no connection can use, or takes a running database out of use.

const SEED = 20261205
const RUNS = 120
/** Announcement intervals after the last odd entry within which every running database must be in use. */
const RECOVERY_INTERVALS = 12

const trueDatabases: Entry[] = [
  { id: 'a', group: 'g', address: '10.0.0.1:5000', startedAt: 1_000_000, sequence: 0, role: 'primary' },
  { id: 'b', group: 'g', address: '10.0.0.2:5000', startedAt: 2_000_000, sequence: 0 },
  { id: 'c', group: 'g', address: '10.0.0.3:5000', startedAt: 3_000_000, sequence: 0 }
]
const USABLE = trueDatabases.map(({ id, address }) => `${id}@${address}`)

const oddName = fc.oneof(fc.constantFrom('odd', 'other', '__proto__', 'constructor', '', 'x\r\ny', 'x y', 'c\u010d\u010a', 'n'.repeat(5000)), fc.string({ maxLength: 8 }))
const oddNumber = fc.oneof(fc.constantFrom(0, 1, -1, 1.5, Number.NaN, Infinity, 2 ** 53, Number.MAX_SAFE_INTEGER, 999_999, 1_000_000, 2_000_000, 2_000_001), fc.integer())
const oddEntry: fc.Arbitrary<Entry> = fc.record({
  id: fc.oneof(fc.constantFrom('a', 'b', 'c'), oddName),
  group: fc.oneof(fc.constantFrom('g', 'g', 'nobody'), oddName),
  address: fc.oneof(fc.constantFrom(...trueDatabases.map(({ address }) => address), '10.9.9.9:1', '10.9.9.9:70000', '10.9.9.9', ':1', '::1'), oddName),
  startedAt: oddNumber,
  sequence: oddNumber,
  failureDomain: fc.oneof(fc.constant('z'), oddName),
  departing: fc.boolean(),
  role: fc.constantFrom('primary' as const, 'replica' as const)
// An entry that repeats id, start and place of a running database can not be told from its own announcement.
}).filter((odd) => !trueDatabases.some(({ id, startedAt, address }) => odd.id === id && odd.startedAt === startedAt && odd.address === address))

const step = fc.oneof(
  { weight: 6, arbitrary: oddEntry.map((odd) => ({ kind: 'odd' as const, odd })) },
  { weight: 6, arbitrary: fc.constant({ kind: 'interval' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'leader' as const }) }
)

t.test('running databases stay in use beside odd entries of all kinds, and come back into use if these came first', { timeout: 120_000 }, async (t) => {
  await fc.assert(fc.asyncProperty(fc.boolean(), fc.array(step, { maxLength: 24 }), async (isRegisteredFirst, steps) => {
    const leader = await startLeader()
    let sequence = 0
    async function runInterval (): Promise<void> {
      sequence++
      for (const database of trueDatabases) await leader.send({ ...database, sequence })
      await leader.advance(1000)
    }
    const missing = () => USABLE.filter((expected) => !leader.usable().includes(expected))
    if (isRegisteredFirst) for (let interval = 0; interval < 4; interval++) await runInterval()
    for (const next of steps) {
      if (next.kind === 'odd') await leader.send(next.odd)
      else if (next.kind === 'leader') await leader.changeLeader()
      else await runInterval()
      // Between two intervals every database was heard a short time ago.
      if (isRegisteredFirst && missing().length > 0) throw new Error(`out of use: ${missing().join(', ')}`)
    }
    for (let interval = 0; interval < RECOVERY_INTERVALS; interval++) await runInterval()
    if (missing().length > 0) throw new Error(`not in use again: ${missing().join(', ')}`)
    const unusable = leader.usable().filter((used) => !/^[^\s\p{Cc}\p{Surrogate}]{1,200}@[\w.-]+:\d{1,5}$/u.test(used))
    if (unusable.length > 0) throw new Error(`published: ${unusable.join(', ')}`)
  }), { seed: SEED, numRuns: RUNS })
  t.pass(`${RUNS} runs with seed ${SEED}`)
})

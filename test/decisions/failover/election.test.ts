import t from 'tap'
import type { FailoverEffect, SentOrder } from '../../../src/decisions/failover/failover-message.js'
import { groupId } from '../../../src/types/ids.js'
import type { ReplicatedGroup } from '../../../src/types/replicated-state.js'
import { commandsIn, createGroupHarness, ordersIn } from './fixtures/group-harness.js'
import { statusOf } from '../membership/fixtures/messages.js'

const interrupted: ReplicatedGroup = { group: groupId('g'), term: 3, primary: null, phase: 'electing' }

/** A leader that finds an election begun, as far as the fence orders. */
function createElectionHarness (names?: string[]) {
  const harness = createGroupHarness(interrupted, names)
  const [command] = commandsIn(harness.wait(50))
  if (command === undefined) throw new Error('no election was proposed')
  const fences = ordersIn(harness.acceptElection(command), 'fence')
  const answerFence = (name: string, offset: number, order = fences.find(({ database }) => database === name) as SentOrder) =>
    harness.failover.handle({ kind: 'order-answered', order, status: statusOf(name, { fencedTerm: 4, position: { term: 1, offset } }) })
  return { harness, command, fences, answerFence }
}

const promotionsIn = (effects: readonly FailoverEffect[]) => ordersIn(effects, 'promote').map(({ database, action }) => `${database} in ${action.kind === 'promote' ? action.term : ''}`)

t.test('a new leader starts a new term for an election that it finds begun, as the old leader may still promote in that one', async (t) => {
  const { command, fences } = createElectionHarness()
  t.same(command, { kind: 'begin-election', group: 'g', term: 4 })
  t.same(fences.map(({ database }) => database), ['a', 'b', 'c'])
})

const fenceCases: { name: string, answers: [string, number][], waitMs: number, promoted: string[] }[] = [
  { name: 'one fenced database is no majority', answers: [['a', 9]], waitMs: 5000, promoted: [] },
  { name: 'a doubled answer of one database is no majority', answers: [['a', 9], ['a', 9]], waitMs: 5000, promoted: [] },
  { name: 'the furthest of a majority is promoted', answers: [['a', 9], ['b', 10]], waitMs: 0, promoted: ['b in 4'] },
  { name: 'a late third answer does not move the promotion to another database', answers: [['a', 9], ['b', 10], ['c', 99]], waitMs: 0, promoted: ['b in 4'] }
]
for (const { name, answers, waitMs, promoted } of fenceCases) {
  t.test(name, async (t) => {
    const { harness, answerFence } = createElectionHarness()
    const effects = answers.flatMap(([database, offset]) => answerFence(database, offset))
    t.same(promotionsIn([...effects, ...(waitMs > 0 ? harness.wait(waitMs) : [])]), promoted)
  })
}

t.test('the only database that a new leader knows is not promoted, as the two others may hold acknowledged writes', async (t) => {
  const { harness, answerFence } = createElectionHarness(['a'])
  t.same(promotionsIn([...answerFence('a', 10), ...harness.wait(5000)]), [])
})

t.test('a fence that is not answered is ordered again, a fenced database is not asked again', async (t) => {
  const { harness, answerFence } = createElectionHarness()
  answerFence('a', 10)
  t.same(ordersIn(harness.wait(300), 'fence').map(({ database }) => database), ['b', 'c'])
})

t.test('an answer to a fence of another term or another leadership does not count', async (t) => {
  const { fences, answerFence } = createElectionHarness()
  const [order] = fences as [SentOrder]
  answerFence('a', 9)
  t.same(promotionsIn(answerFence('b', 10, { ...order, database: statusOf('b').database, action: { kind: 'fence', term: 3 } })), [])
  t.same(promotionsIn(answerFence('b', 10, { ...order, database: statusOf('b').database, leaderTerm: 0 })), [])
})

t.test('a promotion without an answer is repeated for the same database, then given up with a new term, never moved within a term', async (t) => {
  const { harness, answerFence } = createElectionHarness()
  answerFence('a', 9)
  t.same(promotionsIn(answerFence('b', 10)), ['b in 4'])
  t.same(promotionsIn(harness.wait(300)), ['b in 4'])
  const effects = harness.wait(800)
  t.same(promotionsIn(effects), [])
  t.same(commandsIn(effects), [{ kind: 'begin-election', group: 'g', term: 5 }])
})

t.test('a promotion whose answer was lost is noticed when the database announces itself as primary', async (t) => {
  const { harness, answerFence } = createElectionHarness()
  answerFence('a', 9)
  answerFence('b', 10)
  harness.announce(statusOf('b', { role: 'primary', term: 4, fencedTerm: 4 }))
  t.same(commandsIn(harness.wait(50)), [{ kind: 'set-primary', group: 'g', term: 4, database: 'b' }])
})

t.test('a database that was fenced for a higher term makes the leader begin a higher one', async (t) => {
  const { harness, fences } = createElectionHarness()
  for (const order of fences) harness.failover.handle({ kind: 'order-failed', order, failure: { sqlState: 'CR003', message: 'fenced for 7' } })
  harness.announce(statusOf('c', { fencedTerm: 7 }))
  t.same(commandsIn(harness.wait(400)), [{ kind: 'begin-election', group: 'g', term: 8 }])
})

t.test('an election that the log refuses is not carried on, as the term may be that of another leader', async (t) => {
  const harness = createGroupHarness(interrupted)
  const [command] = commandsIn(harness.wait(50))
  if (command === undefined) throw new Error('no election was proposed')
  const effects = harness.failover.handle({ kind: 'proposal-answered', leaderTerm: 1, command, answer: { kind: 'group-conflict', group: { ...interrupted, term: 6 } } })
  t.same(ordersIn(effects, 'fence'), [])
  t.same(ordersIn(harness.wait(50), 'fence'), [])
})

t.test('after the promotion the others are told to follow, and again until they do', async (t) => {
  const { harness, answerFence } = createElectionHarness()
  answerFence('a', 9)
  const [order] = ordersIn(answerFence('b', 10), 'promote') as [SentOrder]
  harness.failover.handle({ kind: 'order-answered', order, status: statusOf('b', { role: 'primary', term: 4, fencedTerm: 4 }) })
  harness.setGroup({ group: groupId('g'), term: 4, primary: statusOf('b').database, phase: 'serving' })
  harness.announce(statusOf('b', { role: 'primary', term: 4, fencedTerm: 4 }))
  t.same(ordersIn(harness.wait(50), 'follow').map(({ database }) => database), ['a', 'c'])
  harness.announce(statusOf('a', { term: 4, fencedTerm: 4 }), statusOf('c'))
  t.same(ordersIn(harness.wait(1000), 'follow').map(({ database }) => database), ['c'])
})

t.test('a departing primary is left only for a database that may get work', async (t) => {
  const harness = createGroupHarness({ group: groupId('g'), term: 1, primary: statusOf('a').database, phase: 'serving' })
  for (const name of ['a', 'b', 'c']) harness.setWeight(name, 0)
  t.same(harness.wait(50), [])
  harness.setWeight('c', 0.1)
  t.match(harness.wait(100), [{ kind: 'log', name: 'switchoverBegan', details: { from: 'a', to: 'c' } }])
})

const firstStartCases: { name: string, statuses: Parameters<typeof statusOf>[], waitMs: number, term: number | undefined }[] = [
  { name: 'a group with one known database is not started', statuses: [['a', { role: 'primary' }]], waitMs: 60_000, term: undefined },
  { name: 'a running primary is taken over with its term', statuses: [['a', { role: 'primary', term: 5, fencedTerm: 5 }], ['b', { term: 5, fencedTerm: 5 }]], waitMs: 0, term: 5 },
  { name: 'a running primary below a fenced term is not taken over', statuses: [['a', { role: 'primary', term: 5, fencedTerm: 5 }], ['b', { term: 5, fencedTerm: 6 }]], waitMs: 2000, term: 7 },
  { name: 'without a primary the group waits for one to announce itself', statuses: [['a', { term: 0, fencedTerm: 0 }], ['b', { term: 0, fencedTerm: 0 }]], waitMs: 1000, term: undefined },
  { name: 'without a primary one is elected', statuses: [['a', { term: 0, fencedTerm: 0 }], ['b', { term: 0, fencedTerm: 0 }]], waitMs: 2000, term: 1 }
]
for (const { name, statuses, waitMs, term } of firstStartCases) {
  t.test(`first start: ${name}`, async (t) => {
    const harness = createGroupHarness(null, [])
    harness.announce(...statuses.map(([database, changes]) => statusOf(database, changes)))
    t.same(commandsIn([...harness.wait(0), ...harness.wait(waitMs)]).map((command) => command.term), term === undefined ? [] : [term])
  })
}

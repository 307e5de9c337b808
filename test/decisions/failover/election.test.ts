// Guards against two primaries in one group and against the loss of acknowledged writes. They come about when a leader promotes
// without a fenced majority, promotes two databases in one term, or acts on late answers to the orders of another leader.
import t from 'tap'
import type { FailoverEffect, SentOrder } from '../../../src/decisions/failover/failover-message.js'
import { groupId } from '../../../src/types/ids.js'
import type { ReplicatedGroup } from '../../../src/types/replicated-state.js'
import { commandsIn, createGroupHarness, ordersIn } from './fixtures/group-harness.js'
import { buildStatus } from '../membership/fixtures/messages.js'

const interrupted: ReplicatedGroup = { group: groupId('g'), term: 3, primary: null, phase: 'electing' }

/** A new leader that found an unfinished election and has sent the fence orders of term 4. */
function createElectionHarness (names?: string[]) {
  const harness = createGroupHarness(interrupted, names)
  const [command] = commandsIn(harness.wait(50))
  if (command === undefined) throw new Error('no election was proposed')
  const fences = ordersIn(harness.acceptElection(command), 'fence')
  const answerFence = (name: string, offset: number, order = fences.find(({ database }) => database === name) as SentOrder) =>
    harness.failover.handle({ kind: 'order-answered', order, status: buildStatus(name, { fencedTerm: 4, position: { term: 1, offset } }) })
  return { harness, command, fences, answerFence }
}

const promotionsIn = (effects: readonly FailoverEffect[]) => ordersIn(effects, 'promote').map(({ database, action }) => `${database} in ${action.kind === 'promote' ? action.term : ''}`)

t.test('a new leader starts a new term for an unfinished election, because the former leader may still promote in the term it began', async (t) => {
  const { command, fences } = createElectionHarness()
  t.same(command, { kind: 'begin-election', group: 'g', term: 4 })
  t.same(fences.map(({ database }) => database), ['a', 'b', 'c'])
})

const fenceCases: { name: string, answers: [string, number][], waitMs: number, promoted: string[] }[] = [
  { name: 'one fenced database is no majority', answers: [['a', 9]], waitMs: 5000, promoted: [] },
  { name: 'a repeated answer of one database is no majority', answers: [['a', 9], ['a', 9]], waitMs: 5000, promoted: [] },
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

t.test('the only database that a new leader knows is not promoted, because the two others may hold acknowledged writes', async (t) => {
  const { harness, answerFence } = createElectionHarness(['a'])
  t.same(promotionsIn([...answerFence('a', 10), ...harness.wait(5000)]), [])
})

t.test('a fence order without an answer is sent again, but not to a database that is fenced already', async (t) => {
  const { harness, answerFence } = createElectionHarness()
  answerFence('a', 10)
  t.same(ordersIn(harness.wait(300), 'fence').map(({ database }) => database), ['b', 'c'])
})

t.test('an answer to a fence of another term or another leadership does not count', async (t) => {
  const { fences, answerFence } = createElectionHarness()
  const [order] = fences as [SentOrder]
  answerFence('a', 9)
  t.same(promotionsIn(answerFence('b', 10, { ...order, database: buildStatus('b').database, action: { kind: 'fence', term: 3 } })), [])
  t.same(promotionsIn(answerFence('b', 10, { ...order, database: buildStatus('b').database, leaderTerm: 0 })), [])
})

t.test('a promote order without an answer is sent again to the same database, then abandoned for a new term; no term has two targets', async (t) => {
  const { harness, answerFence } = createElectionHarness()
  answerFence('a', 9)
  t.same(promotionsIn(answerFence('b', 10)), ['b in 4'])
  t.same(promotionsIn(harness.wait(300)), ['b in 4'])
  const effects = harness.wait(800)
  t.same(promotionsIn(effects), [])
  t.same(commandsIn(effects), [{ kind: 'begin-election', group: 'g', term: 5 }])
})

t.test('a promotion whose answer was lost is recognized when the database announces itself as primary', async (t) => {
  const { harness, answerFence } = createElectionHarness()
  answerFence('a', 9)
  answerFence('b', 10)
  harness.announce(buildStatus('b', { role: 'primary', term: 4, fencedTerm: 4 }))
  t.same(commandsIn(harness.wait(50)), [{ kind: 'set-primary', group: 'g', term: 4, database: 'b' }])
})

t.test('a database that is fenced for a higher term makes the leader begin an even higher one', async (t) => {
  const { harness, fences } = createElectionHarness()
  for (const order of fences) harness.failover.handle({ kind: 'order-failed', order, failure: { sqlState: 'CR003', message: 'fenced for 7' } })
  harness.announce(buildStatus('c', { fencedTerm: 7 }))
  t.same(commandsIn(harness.wait(400)), [{ kind: 'begin-election', group: 'g', term: 8 }])
})

t.test('an election that the log refuses is abandoned, because the term may belong to another leader', async (t) => {
  const harness = createGroupHarness(interrupted)
  const [command] = commandsIn(harness.wait(50))
  if (command === undefined) throw new Error('no election was proposed')
  const effects = harness.failover.handle({ kind: 'proposal-answered', leaderTerm: 1, command, answer: { kind: 'group-conflict', group: { ...interrupted, term: 6 } } })
  t.same(ordersIn(effects, 'fence'), [])
  t.same(ordersIn(harness.wait(50), 'fence'), [])
})

t.test('after the promotion, the other databases get follow orders until they follow', async (t) => {
  const { harness, answerFence } = createElectionHarness()
  answerFence('a', 9)
  const [order] = ordersIn(answerFence('b', 10), 'promote') as [SentOrder]
  harness.failover.handle({ kind: 'order-answered', order, status: buildStatus('b', { role: 'primary', term: 4, fencedTerm: 4 }) })
  harness.setGroup({ group: groupId('g'), term: 4, primary: buildStatus('b').database, phase: 'serving' })
  harness.announce(buildStatus('b', { role: 'primary', term: 4, fencedTerm: 4 }))
  t.same(ordersIn(harness.wait(50), 'follow').map(({ database }) => database), ['a', 'c'])
  harness.announce(buildStatus('a', { term: 4, fencedTerm: 4 }), buildStatus('c'))
  t.same(ordersIn(harness.wait(1000), 'follow').map(({ database }) => database), ['c'])
})

t.test('a switchover away from a primary of weight 0 begins only when a target has a weight above 0', async (t) => {
  const harness = createGroupHarness({ group: groupId('g'), term: 1, primary: buildStatus('a').database, phase: 'serving' })
  for (const name of ['a', 'b', 'c']) harness.setWeight(name, 0)
  t.same(harness.wait(50), [])
  harness.setWeight('c', 0.1)
  t.match(harness.wait(100), [{ kind: 'log', name: 'switchoverBegan', details: { from: 'a', to: 'c' } }])
})

const firstStartCases: { name: string, statuses: Parameters<typeof buildStatus>[], waitMs: number, term: number | undefined }[] = [
  { name: 'a group with one known database is not started', statuses: [['a', { role: 'primary' }]], waitMs: 60_000, term: undefined },
  { name: 'a running primary is adopted with its term', statuses: [['a', { role: 'primary', term: 5, fencedTerm: 5 }], ['b', { term: 5, fencedTerm: 5 }]], waitMs: 0, term: 5 },
  { name: 'a running primary below a fenced term is not adopted', statuses: [['a', { role: 'primary', term: 5, fencedTerm: 5 }], ['b', { term: 5, fencedTerm: 6 }]], waitMs: 2000, term: 7 },
  { name: 'without a primary, the group first waits for one to announce itself', statuses: [['a', { term: 0, fencedTerm: 0 }], ['b', { term: 0, fencedTerm: 0 }]], waitMs: 1000, term: undefined },
  { name: 'without a primary, one is elected after the wait', statuses: [['a', { term: 0, fencedTerm: 0 }], ['b', { term: 0, fencedTerm: 0 }]], waitMs: 2000, term: 1 }
]
for (const { name, statuses, waitMs, term } of firstStartCases) {
  t.test(`first start: ${name}`, async (t) => {
    const harness = createGroupHarness(null, [])
    harness.announce(...statuses.map(([database, changes]) => buildStatus(database, changes)))
    t.same(commandsIn([...harness.wait(0), ...harness.wait(waitMs)]).map((command) => command.term), term === undefined ? [] : [term])
  })
}

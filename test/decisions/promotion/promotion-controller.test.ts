// Guards against two primaries in use at the same time and against the loss of acknowledged commits, where an external authority
// promotes. They come about when instances still use the former primary, when the authority executes a promote order late, or when
// positions are compared while replicas still receive.
import t from 'tap'
import type { FailoverEffect, GroupCommand, SentOrder } from '../../../src/decisions/failover/failover-message.js'
import { buildAnnouncedStatus } from '../../../src/decisions/membership/announcement-classification.js'
import { PROMOTION_REFUSED } from '../../../src/decisions/promotion/promotion-controller.js'
import { databaseId } from '../../../src/types/ids.js'
import { LEASE_END_MS, createHarness, findCommand, findOrder, losePrimary, ordersIn } from './fixtures/promotion-harness.js'

t.test('a lost primary is replaced by the replica with the furthest position, with the term as fencing token', async (t) => {
  const harness = createHarness()
  const [order] = ordersIn(losePrimary(harness, { r: 8, s: 9 }), 'promote')
  t.match(order, { database: 's', action: { kind: 'promote', term: 2 } })
  t.same(findCommand(harness.promotion.handle({ kind: 'order-answered', order: order as SentOrder, status: buildAnnouncedStatus(databaseId('s'), 0, 'replica') })), undefined, 'an accepted order has not taken effect yet')
  harness.clock.advance(600)
  t.match(findCommand(harness.announce('s', 'primary')), { kind: 'set-primary', term: 2, database: 's' })
})

/**
 * Lets s take over from p, which keeps commits that s has not received, and then lets s be lost before it has committed anything.
 * @returns the harness, and the status orders of the second election
 */
function loseSuccessor (): { harness: ReturnType<typeof createHarness>, statusOrders: SentOrder[] } {
  const harness = createHarness()
  const promoteOrders = ordersIn(losePrimary(harness, { r: 33, s: 34 }), 'promote')
  harness.promotion.handle({ kind: 'order-answered', order: promoteOrders[0] as SentOrder, status: buildAnnouncedStatus(databaseId('s'), 0, 'replica') })
  harness.clock.advance(600)
  harness.acceptProposal(findCommand(harness.announce('s', 'primary')) as GroupCommand)
  harness.clock.advance(3000)
  harness.announce('p', 'replica')
  harness.announce('r', 'replica')
  for (const name of ['a', 'b', 'c']) harness.report(name, 1, harness.silence('s', 2500))
  harness.acceptProposal(findCommand(harness.advance(100)) as GroupCommand)
  for (const name of ['a', 'b']) harness.report(name, 2)
  return { harness, statusOrders: ordersIn(harness.report('c', 2), 'status') }
}

t.test('an election does not choose a former primary whose last commits an earlier promotion has cut off', async (t) => {
  for (const order of [['p', 'r'], ['r', 'p']]) {
    const { harness, statusOrders } = loseSuccessor()
    let effects: FailoverEffect[] = []
    for (const name of order) effects = [...effects, ...harness.answerStatus(findOrder(statusOrders, name), name === 'p' ? 84 : 34, 'replica', name === 'p' ? 1 : 2)]
    effects.push(...harness.advance(400))
    t.same(ordersIn(effects, 'promote').map(({ database }) => database), ['r'], `answers of ${order.join(' and ')}`)
  }
})

t.test('a database that lacks the newest promotion is promoted only after the others have had time to answer', async (t) => {
  const { harness, statusOrders } = loseSuccessor()
  const effects = harness.answerStatus(findOrder(statusOrders, 'p'), 84, 'replica', 1)
  t.same(ordersIn([...effects, ...harness.advance(1000)], 'promote'), [], 'r may have the history of the newest promotion')
  t.match(ordersIn(harness.advance(4000), 'promote'), [{ database: 'p' }], 'the group does not stay without a primary')
})

t.test('no promotion is ordered before every instance has released the old term, or its lease has expired', async (t) => {
  const harness = createHarness()
  harness.clock.advance(500)
  for (const name of ['a', 'b', 'c']) harness.report(name, 0, harness.silence('p', 450))
  harness.acceptProposal(findCommand(harness.advance(100)) as GroupCommand)
  harness.report('a', 1)
  t.same(ordersIn(harness.report('b', 1), 'status'), [])
  harness.report('c', 1, { directoryVersion: { leaderTerm: 1, counter: 1 } })
  t.same(ordersIn(harness.advance(LEASE_END_MS - 100), 'status'), [], 'c has an older directory')
  t.equal(ordersIn(harness.advance(200), 'status').length, 3)
})

t.test('a promote order without an answer is sent again for the same database and token', async (t) => {
  const harness = createHarness()
  const [first] = ordersIn(losePrimary(harness, { r: 8, s: 9 }), 'promote')
  const [second] = ordersIn(harness.advance(600), 'promote')
  t.match(second, { database: first?.database, action: first?.action })
})

t.test('another database is promoted only under a new token', async (t) => {
  const harness = createHarness()
  const [order] = ordersIn(losePrimary(harness, { r: 8, s: 9 }), 'promote')
  harness.clock.advance(400)
  const effects = harness.promotion.handle({ kind: 'order-failed', order: order as SentOrder, failure: { sqlState: PROMOTION_REFUSED, message: 'refused' } })
  t.match(findCommand(effects), { kind: 'begin-election', term: 3 })
})

t.test('a leader that finds an unfinished election starts a new term', async (t) => {
  const harness = createHarness({ replicated: { term: 4, primary: null, phase: 'electing' } })
  harness.startLeadership(2)
  const command = findCommand(harness.promotion.tick())
  t.match(command, { kind: 'begin-election', term: 5 })
})

t.test('where commits wait for replicas, no database is promoted before every replica has reported its position', async (t) => {
  const harness = createHarness({ acknowledgingReplicas: 1 })
  t.same(ordersIn(losePrimary(harness, { r: 8 }), 'promote'), [])
  t.same(ordersIn(harness.advance(400), 'promote'), [], 's may hold an acknowledged commit that r lacks')
})

t.test('a switchover promotes only a database that has caught up', async (t) => {
  const harness = createHarness()
  harness.clock.advance(5000)
  for (const name of ['p', 'r', 's']) harness.announce(name, name === 'p' ? 'primary' : 'replica')
  harness.report('a', 0)
  harness.setWeight('p', 0)
  harness.advance(100)
  harness.publish('switching')
  const statusOrders = ordersIn(harness.report('a', 1), 'status')
  harness.answerStatus(findOrder(statusOrders, 'p'), 10, 'primary')
  t.equal(findCommand(harness.answerStatus(findOrder(statusOrders, 'r'), 9)), undefined)
  const repeatedOrders = ordersIn(harness.advance(100), 'status')
  harness.answerStatus(findOrder(repeatedOrders, 'p'), 10, 'primary')
  t.match(findCommand(harness.answerStatus(findOrder(repeatedOrders, 's'), 10)), { kind: 'begin-election', term: 2 })
})

t.test('an election begins when the primary announces itself as a replica', async (t) => {
  const harness = createHarness()
  harness.report('a', 0)
  harness.clock.advance(1000)
  harness.announce('s', 'primary')
  harness.announce('p', 'replica')
  t.match(findCommand(harness.advance(100)), { kind: 'begin-election', term: 2 })
})

t.test('the first start adopts the running primary without a promote order', async (t) => {
  const harness = createHarness({ replicated: { term: 0, primary: null, phase: 'serving' } })
  const effects = harness.acceptProposal(findCommand(harness.advance(100)) as GroupCommand)
  t.match(findCommand(effects), { kind: 'set-primary', term: 1, database: 'p' })
  t.same(ordersIn(effects, 'promote'), [])
})

/** Answers the orders to the databases that `offsets` names, with these offsets as positions. */
function answerAll (harness: ReturnType<typeof createHarness>, orders: readonly SentOrder[], offsets: Record<string, number>): FailoverEffect[] {
  return orders.flatMap((order) => offsets[order.database] === undefined ? [] : harness.answerStatus(order, offsets[order.database] ?? 0))
}

t.test('where commits wait for replicas, positions are compared only once no replica receives', async (t) => {
  const harness = createHarness({ acknowledgingReplicas: 1 })
  const effects = losePrimary(harness, { r: 8, s: 9 })
  t.same(ordersIn(effects, 'promote'), [], 'r may receive and acknowledge a commit after it reported its position')
  const fenceOrders = ordersIn(effects, 'fence')
  t.match(fenceOrders.map(({ database, action }) => ({ database, action })), [{ database: 'r', action: { term: 2 } }, { database: 's', action: { term: 2 } }])
  t.same(ordersIn(answerAll(harness, fenceOrders, { r: 10 }), 'promote'), [], 's is not fenced yet')
  t.match(ordersIn(answerAll(harness, fenceOrders, { s: 9 }), 'promote'), [{ database: 'r' }])
})

t.test('a fence order without an answer is sent again', async (t) => {
  const harness = createHarness({ acknowledgingReplicas: 1 })
  const fenceOrders = ordersIn(losePrimary(harness, { r: 8, s: 9 }), 'fence')
  answerAll(harness, fenceOrders, { r: 10 })
  t.match(ordersIn(harness.advance(600), 'fence').map(({ database }) => database), ['s'])
})

t.test('after the failover, the replicas get unfence orders until they answer', async (t) => {
  const harness = createHarness({ acknowledgingReplicas: 1 })
  const fenceOrders = ordersIn(losePrimary(harness, { r: 8, s: 9 }), 'fence')
  const [order] = ordersIn(answerAll(harness, fenceOrders, { r: 10, s: 9 }), 'promote')
  harness.promotion.handle({ kind: 'order-answered', order: order as SentOrder, status: buildAnnouncedStatus(databaseId('r'), 0, 'replica') })
  harness.clock.advance(600)
  const unfenceOrders = ordersIn(harness.acceptProposal(findCommand(harness.announce('r', 'primary')) as GroupCommand), 'unfence')
  t.match(unfenceOrders.map(({ database }) => database), ['s'])
  const repeated = ordersIn(harness.advance(600), 'unfence')
  t.match(repeated.map(({ database }) => database), ['s'])
  harness.answerStatus(repeated[0] as SentOrder, 10)
  t.same(ordersIn(harness.advance(600), 'unfence'), [])
})

t.test('a new leader sends unfence orders to the replicas, because a former leader may have fenced them', async (t) => {
  const harness = createHarness({ acknowledgingReplicas: 1 })
  harness.startLeadership(2)
  harness.advance(200)
  t.match(ordersIn(harness.advance(600), 'unfence').map(({ database }) => database).sort(), ['r', 's'])
})

t.test('where commits wait for replicas, a switchover whose target does not catch up promotes the replica with the furthest position', async (t) => {
  const harness = createHarness({ acknowledgingReplicas: 1 })
  harness.clock.advance(5000)
  for (const name of ['p', 'r', 's']) harness.announce(name, name === 'p' ? 'primary' : 'replica')
  harness.report('a', 0)
  harness.setWeight('p', 0)
  harness.advance(100)
  harness.publish('switching')
  harness.acceptProposal(findCommand(harness.advance(3200)) as GroupCommand)
  const statusOrders = ordersIn(harness.report('a', 2), 'status')
  harness.answerStatus(findOrder(statusOrders, 'p'), 10, 'primary')
  const effects = answerAll(harness, statusOrders.filter(({ database }) => database !== 'p'), { r: 8, s: 9 })
  t.same(ordersIn(effects, 'promote'), [])
  t.match(ordersIn(answerAll(harness, ordersIn(effects, 'fence'), { r: 8, s: 9 }), 'promote'), [{ database: 's' }])
})

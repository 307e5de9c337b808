import { err } from 'neverthrow'
import t from 'tap'
import { openWireSession, readWireStatus } from '../../platform/database-wire.js'
import { createPromotionOrders } from '../../platform/promotion-orders.js'
import type { DatabaseAction, SentOrder } from '../../src/decisions/failover/failover-message.js'
import { address, databaseId, groupId, instanceId } from '../../src/types/ids.js'
import { startWireDatabase } from '../../stand-ins/platform/wire-database.js'

/** Sends orders to a stand-in database. Guards against a fence that does not take effect or that the status does not show. */

t.test('a fenced replica reports its fenced term in its status until it is unfenced', async (t) => {
  const replica = await startWireDatabase('g', 'r', 'replica')
  t.teardown(replica.close)
  const sendOrder = createPromotionOrders({ instance: instanceId('control-1'), authority: '127.0.0.1:1', open: openWireSession, readStatus: readWireStatus })
  const order = (action: DatabaseAction): SentOrder => ({ group: groupId('g'), database: databaseId('r'), address: address(replica.address), leaderTerm: 1, sentAt: 0, action })
  t.match(await sendOrder(order({ kind: 'fence', term: 4 })), { value: { role: 'replica', term: 3, fencedTerm: 4, position: { term: 3, offset: 100 } } })
  t.match(await sendOrder(order({ kind: 'status' })), { value: { fencedTerm: 4 } })
  t.match(await sendOrder(order({ kind: 'unfence' })), { value: { fencedTerm: 0 } })
  t.match(await sendOrder(order({ kind: 'follow', term: 4, primaryAddress: address('127.0.0.1:1') })), { error: { message: 'the platform knows no order follow' } })
})

t.test('a database that has too many connections is tried again until it accepts the order', async (t) => {
  const replica = await startWireDatabase('g', 'r', 'replica')
  t.teardown(replica.close)
  let rejections = 3
  const sendOrder = createPromotionOrders({
    instance: instanceId('control-1'),
    authority: '127.0.0.1:1',
    open: async (target, limitMs) => rejections-- > 0 ? err({ kind: 'too-many-connections', message: 'TOOMANY' }) : await openWireSession(target, limitMs),
    readStatus: readWireStatus
  })
  t.match(await sendOrder({ group: groupId('g'), database: databaseId('r'), address: address(replica.address), leaderTerm: 1, sentAt: 0, action: { kind: 'status' } }), { value: { role: 'replica' } })
})

t.test('a failure tells a busy database from one that does not answer, because only the latter may have ended', async (t) => {
  const sendTo = async (kind: 'busy' | 'too-many-connections' | 'other-database' | 'unreachable') => {
    const sendOrder = createPromotionOrders({ instance: instanceId('control-1'), authority: '127.0.0.1:1', open: async () => err({ kind, message: kind }), readStatus: readWireStatus })
    return await sendOrder({ group: groupId('g'), database: databaseId('r'), address: address('127.0.0.1:1'), leaderTerm: 1, sentAt: 0, action: { kind: 'status' } })
  }
  t.match(await sendTo('busy'), { error: { sqlState: '57P03' } })
  t.match(await sendTo('too-many-connections'), { error: { sqlState: '53300' } })
  t.match(await sendTo('other-database'), { error: { sqlState: null } })
  t.match(await sendTo('unreachable'), { error: { sqlState: null } })
})

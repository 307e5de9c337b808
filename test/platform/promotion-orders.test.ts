import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { err } from 'neverthrow'
import t from 'tap'
import { openWireSession, readWireStatus } from '../../platform/database-wire.js'
import { createPromotionOrders } from '../../platform/promotion-orders.js'
import type { DatabaseAction, SentOrder } from '../../src/decisions/failover/failover-message.js'
import type { OpenFailure } from '../../src/types/database-session.js'
import { address, databaseId, groupId, instanceId } from '../../src/types/ids.js'
import { startWireDatabase } from '../../stand-ins/platform/wire-database.js'

/**
 * Sends orders to a stand-in database and to an authority. Guards against a fence that does not take effect or that the status does not show, and
 * against a promotion that is not sent because of the name of its sender.
 */

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

t.test('the authority receives the name of the instance as UTF-8', async (t) => {
  const holders: (string | undefined)[] = []
  const authority = createServer((request, response) => {
    holders.push(request.headers['lease-holder'] as string | undefined)
    response.writeHead(200).end()
  })
  await new Promise<void>((resolve) => { authority.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { authority.close() })
  const sendOrder = createPromotionOrders({ instance: instanceId('core-phở-é'), authority: `127.0.0.1:${(authority.address() as AddressInfo).port}`, open: openWireSession, readStatus: readWireStatus })
  const promoted = await sendOrder({ group: groupId('g'), database: databaseId('r'), address: address('127.0.0.1:1'), leaderTerm: 1, sentAt: 0, action: { kind: 'promote', term: 4 } })
  t.ok(promoted.isOk())
  t.same(holders.map((holder) => Buffer.from(holder ?? '', 'latin1').toString('utf8')), ['core-phở-é'])
})

/** Sends a status order to a database that can not be reached for the given reason. */
const sendTo = async (kind: OpenFailure['kind']) => {
  const sendOrder = createPromotionOrders({ instance: instanceId('control-1'), authority: '127.0.0.1:1', open: async () => err({ kind, message: kind }), readStatus: readWireStatus })
  return await sendOrder({ group: groupId('g'), database: databaseId('r'), address: address('127.0.0.1:1'), leaderTerm: 1, sentAt: 0, action: { kind: 'status' } })
}

t.test('a failure tells a busy database from one that does not answer, because only the latter may have ended', async (t) => {
  t.match(await sendTo('busy'), { error: { sqlState: '57P03' } })
  t.match(await sendTo('too-many-connections'), { error: { sqlState: '53300' } })
  t.match(await sendTo('other-database'), { error: { sqlState: null } })
  t.match(await sendTo('unreachable'), { error: { sqlState: null } })
  t.match(await sendTo('refused'), { error: { sqlState: null } })
})

t.test('a database is only said not to run when nothing, or another database, answers at its address', async (t) => {
  const expected: Record<OpenFailure['kind'], true | undefined> = { refused: true, 'other-database': true, unreachable: undefined, busy: undefined, 'too-many-connections': undefined }
  for (const [kind, isNotRunning] of Object.entries(expected) as [OpenFailure['kind'], true | undefined][]) {
    const failure = (await sendTo(kind))._unsafeUnwrapErr()
    t.equal(failure.isNotRunning, isNotRunning, kind)
  }
})

// Guards the selection of a connection holder. A wrong rank sends requests to an unreachable or draining instance, or to
// another failure domain although a nearer holder exists.
import t from 'tap'
import { parseTransactionHolder, selectHolder } from '../../../src/decisions/routing/holder-selection.js'
import type { DirectoryInstance } from '../../../src/types/directory.js'
import { address, failureDomainId, incarnationId, instanceId, transactionId, type InstanceId } from '../../../src/types/ids.js'

interface Holder {
  name: string
  domain?: string
  draining?: boolean
  connected?: boolean
  outstanding?: number
}

function selectFrom (holders: Holder[]): string | null {
  const entries: DirectoryInstance[] = holders.map(({ name, domain = 'b', draining = false }) => ({
    instance: instanceId(name), incarnation: incarnationId('run'), peerAddress: address('127.0.0.1:1'), failureDomain: failureDomainId(domain), draining
  }))
  const find = (id: InstanceId): Holder | undefined => holders.find(({ name }) => name === id)
  return selectHolder({
    self: instanceId('self'),
    failureDomain: failureDomainId('a'),
    holders: entries,
    isConnected: (id) => find(id)?.connected ?? true,
    countInFlight: (id) => find(id)?.outstanding ?? 0
  })?.instance ?? null
}

const cases: { situation: string, holders: Holder[], expected: string | null }[] = [
  { situation: 'itself before all others', holders: [{ name: 'x', domain: 'a' }, { name: 'self', connected: false, outstanding: 9 }], expected: 'self' },
  { situation: 'one of its failure domain', holders: [{ name: 'x' }, { name: 'near', domain: 'a', outstanding: 9 }], expected: 'near' },
  { situation: 'the one with the fewest requests in flight', holders: [{ name: 'x', outstanding: 2 }, { name: 'y', outstanding: 1 }], expected: 'y' },
  { situation: 'no draining one while there is another', holders: [{ name: 'self', draining: true }, { name: 'x', outstanding: 9 }], expected: 'x' },
  { situation: 'no unreachable one while there is another', holders: [{ name: 'near', domain: 'a', connected: false }, { name: 'x' }], expected: 'x' },
  { situation: 'a draining one rather than an unreachable one', holders: [{ name: 'x', connected: false }, { name: 'y', draining: true }], expected: 'y' },
  { situation: 'an unreachable one when there is no other', holders: [{ name: 'x', connected: false }], expected: 'x' },
  { situation: 'none when the group has none', holders: [], expected: null }
]

for (const { situation, holders, expected } of cases) {
  t.test(`an instance selects ${situation}`, async (t) => {
    t.equal(selectFrom(holders), expected)
    t.equal(selectFrom([...holders].reverse()), expected, 'whatever the order of the directory')
  })
}

t.test('the holder of a transaction is read from its id, also when the instance id contains full stops', async (t) => {
  t.equal(parseTransactionHolder(transactionId('entry.eu-1.abc')), 'entry.eu-1')
  for (const id of ['abc', '.abc', 'entry.', '']) t.equal(parseTransactionHolder(transactionId(id)), null)
})

import t from 'tap'
import { createShareAllocator } from '../../../src/decisions/limits/share-allocator.js'
import { leaderShareLeaseMs } from '../../../src/decisions/limits/share-lease.js'
import { incarnationId, instanceId, resourceId, workspaceId } from '../../../src/types/ids.js'
import { createFakeClock } from '../../support/fake-clock.js'

const resource = resourceId('rate', workspaceId('w'))
const [a, b] = [instanceId('a'), instanceId('b')]

function createLeader (expected: readonly ReturnType<typeof instanceId>[]) {
  const clock = createFakeClock()
  const allocator = createShareAllocator({ clock })
  allocator.becomeLeader(2)
  allocator.setResources(new Map([[resource, { amount: 100, burst: 50, whole: false, eligible: null }]]))
  allocator.expectHolders(new Set(expected))
  const report = (instance: typeof a, idleMs = 0, held: Parameters<typeof allocator.report>[0]['held'] = []): number => {
    const incarnation = incarnationId(instance)
    allocator.report({ instance, incarnation, draining: false, leaderTerm: 2, idleMs, held, demand: [{ resource, amount: 50 }] })
    return allocator.renew(instance, incarnation)[0]?.amount ?? 0
  }
  return { clock, allocator, report }
}

t.test('a new leader grants once every instance that may hold a share has reported', async (t) => {
  const { report } = createLeader([a, b])
  t.equal(report(a), 0, 'b may hold everything')
  t.ok(report(b) > 0)
  t.ok(report(a) > 0)
})

t.test('an instance that does not report is waited for until its lease has run out', async (t) => {
  const { clock, allocator, report } = createLeader([a, b])
  clock.advance(leaderShareLeaseMs - 1)
  t.equal(report(a), 0)
  clock.advance(2)
  allocator.tick()
  t.ok(report(a) > 0)
})

t.test('what an instance still holds is adopted and not granted again', async (t) => {
  const { report } = createLeader([a, b])
  report(a, 0, [{ resource, amount: 80, burst: 40, grant: 7, returnedTokens: 0 }])
  t.ok(report(b) <= 20)
})

t.test('tokens of the time in which nobody held a share are there, and no more than the burst', async (t) => {
  for (const [idleMs, expected] of [[0, 0], [200, 20], [60_000, 50]] as const) {
    const { allocator, report } = createLeader([a])
    report(a, idleMs)
    const tokens = allocator.renew(a, incarnationId(a))[0]?.tokens ?? 0
    t.ok(tokens <= expected, `${tokens} after ${idleMs} ms`)
    if (expected > 0) t.ok(tokens > 0)
  }
})

import fc from 'fast-check'
import t from 'tap'
import type { QueueEntry, WeightedFairQueue } from '../../../src/decisions/fairness/weighted-fair-queue.js'
import { createWeightedFairQueue } from '../../../src/decisions/fairness/weighted-fair-queue.js'
import { milliseconds } from '../../../src/types/clock.js'
import { requestId, workspaceId } from '../../../src/types/ids.js'

// A workspace must not lose its share of service to one that queues more requests, runs longer transactions or was blocked for a while.
// An unfair order also arises if idle workspaces keep credit or debt from times in which no other workspace waited.

const seed = 7003
const fast = workspaceId('fast')
const slow = workspaceId('slow')
let nextId = 0

function entryOf (workspace: typeof fast, cost = 1, deadline = 1000, item = ''): QueueEntry<string> {
  return { id: requestId(`r${nextId++}`), workspace, cost, deadline: milliseconds(deadline), item }
}

function createQueue (options: { weightOf?: (workspace: typeof fast) => number, maxPerWorkspace?: number } = {}) {
  const clock = { now: () => milliseconds(clock.time), time: 0 }
  return { clock, queue: createWeightedFairQueue<string>({ clock, ...options }) }
}

function serve (queue: WeightedFairQueue<string>, count: number): string[] {
  return Array.from({ length: count }, () => queue.dequeue()?.workspace ?? '')
}

const countOf = (served: string[], workspace: string) => served.filter((name) => name === workspace).length

t.test('a workspace that queues five times as many requests does not push another below its weighted share', async (t) => {
  for (const { weight, expected } of [{ weight: 1, expected: 50 }, { weight: 3, expected: 75 }]) {
    const { queue } = createQueue({ weightOf: (workspace) => workspace === slow ? weight : 1, maxPerWorkspace: 1000 })
    for (let index = 0; index < 500; index++) queue.enqueue(entryOf(fast))
    for (let index = 0; index < 100; index++) queue.enqueue(entryOf(slow))
    const served = countOf(serve(queue, 100), slow)
    t.ok(Math.abs(served - expected) <= 1, `weight ${weight}: ${served} of 100`)
  }
})

t.test('cost charged after the start counts, so that long transactions do not exceed their share', async (t) => {
  const { queue } = createQueue({ maxPerWorkspace: 1000 })
  for (let index = 0; index < 500; index++) {
    queue.enqueue(entryOf(fast))
    queue.enqueue(entryOf(slow))
  }
  let used = 0
  let count = 0
  for (let index = 0; index < 400; index++) {
    const entry = queue.dequeue()
    if (entry?.workspace === slow) {
      count++
      continue
    }
    used += 4
    queue.charge(fast, 3)
  }
  t.ok(Math.abs(used - count) <= 4, `${used} charged units against ${count}`)
})

t.test('an idle workspace accrues no credit, and service while no other workspace waited causes no debt', async (t) => {
  for (const charged of [0, 1000]) {
    const { queue } = createQueue()
    for (let index = 0; index < 300; index++) {
      queue.enqueue(entryOf(fast))
      queue.dequeue()
    }
    queue.charge(fast, charged)
    for (let index = 0; index < 100; index++) {
      queue.enqueue(entryOf(slow))
      queue.enqueue(entryOf(fast))
    }
    const served = countOf(serve(queue, 40), slow)
    t.ok(served >= 19 && served <= 21, `charged ${charged}: ${served} of 40`)
  }
})

t.test('a charge to an idle workspace takes effect although its tag lies in the virtual past', async (t) => {
  const { queue } = createQueue()
  for (let index = 0; index < 100; index++) queue.enqueue(entryOf(slow))
  serve(queue, 50)
  queue.charge(fast, 10)
  for (let index = 0; index < 20; index++) queue.enqueue(entryOf(fast))
  t.equal(countOf(serve(queue, 9), fast), 0)
  t.equal(countOf(serve(queue, 10), fast), 5)
})

t.test('entries that cannot run are skipped, keep their place and catch up by a bounded amount', async (t) => {
  const { queue } = createQueue({ maxPerWorkspace: 2000 })
  for (let index = 0; index < 2000; index++) {
    queue.enqueue(entryOf(slow, 1, 1000, 'write'))
    queue.enqueue(entryOf(fast, 1, 1000, 'read'))
  }
  for (let index = 0; index < 1000; index++) t.equal(queue.dequeue((entry) => entry.item === 'read')?.workspace, fast)
  t.equal(queue.dequeue(() => false), null)
  const next = countOf(serve(queue, 500), slow)
  t.ok(next >= 370 && next <= 380, `caught up by ${next} of 500`)
})

t.test('a workspace whose first entry is blocked is served from its later entries', async (t) => {
  const { queue } = createQueue()
  queue.enqueue(entryOf(slow, 1, 1000, 'write'))
  queue.enqueue(entryOf(slow, 1, 1000, 'read'))
  t.equal(queue.dequeue((entry) => entry.item === 'read')?.item, 'read')
  t.equal(queue.dequeue()?.item, 'write')
})

t.test('the queue enforces its bounds and deadlines, cancels entries and estimates the wait', async (t) => {
  const { queue, clock } = createQueue({ maxPerWorkspace: 3 })
  const early = entryOf(fast, 4, 10)
  const late = entryOf(fast, 4, 50)
  t.ok(queue.enqueue(early).isOk())
  t.equal(queue.enqueue(early)._unsafeUnwrapErr(), 'duplicate-id')
  queue.enqueue(late)
  queue.enqueue(entryOf(fast, 4))
  t.equal(queue.enqueue(entryOf(fast))._unsafeUnwrapErr(), 'queue-full')
  t.equal(queue.estimateWaitMs(fast, 2), 6)
  t.equal(queue.estimateWaitMs(slow, 2), 0)
  t.equal(queue.estimateWaitMs(fast, 0), Infinity)
  clock.time = 10
  t.equal(queue.enqueue(entryOf(slow, 1, 10))._unsafeUnwrapErr(), 'deadline-passed')
  t.equal(queue.dequeue(), late, 'an expired entry is never served')
  t.same(queue.drainExpired(), [early])
  t.same(queue.drainExpired(), [])
  t.equal(queue.cancel(early.id), null)
  t.equal(queue.size, 1)
  t.throws(() => queue.charge(fast, NaN), RangeError)
})

t.test('every entry leaves the queue exactly once: served, expired or cancelled', async (t) => {
  const step = fc.record({ kind: fc.constantFrom('enqueue', 'dequeue', 'expire', 'cancel', 'charge'), workspace: fc.integer({ min: 0, max: 4 }), value: fc.integer({ min: 1, max: 30 }) })
  t.doesNotThrow(() => fc.assert(fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
    const { queue, clock } = createQueue({ maxPerWorkspace: 10 })
    const queued = new Map<string, QueueEntry<string>>()
    const removeQueued = (entry: QueueEntry<string> | null) => entry === null || queued.delete(entry.id)
    for (const { kind, workspace, value } of steps) {
      clock.time++
      const entry = entryOf(workspaceId(`w${workspace}`), value, clock.time + value)
      if (kind === 'enqueue' && queue.enqueue(entry).isOk()) queued.set(entry.id, entry)
      if (kind === 'charge') queue.charge(entry.workspace, value)
      if (kind === 'cancel' && !removeQueued(queue.cancel([...queued.keys()][0] as typeof entry.id ?? entry.id))) return false
      if (kind === 'expire' && !queue.drainExpired().every((expired) => expired.deadline <= clock.time && removeQueued(expired))) return false
      if (kind !== 'dequeue') continue
      const served = queue.dequeue((candidate) => candidate.cost % 3 !== 0)
      if (served !== null && (served.deadline <= clock.time || served.cost % 3 === 0)) return false
      if (!removeQueued(served)) return false
    }
    return queue.size === queued.size
  }), { seed }))
})

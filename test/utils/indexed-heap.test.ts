import fc from 'fast-check'
import t from 'tap'
import { createIndexedHeap } from '../../src/utils/indexed-heap.js'

const seed = 7001

t.test('a heap under random changes and removals yields what a sorted list yields', async (t) => {
  const operation = fc.record({ key: fc.integer({ min: 0, max: 30 }), priority: fc.integer({ min: 0, max: 9 }), remove: fc.boolean() })
  t.doesNotThrow(() => fc.assert(fc.property(fc.array(operation, { maxLength: 80 }), (operations) => {
    const heap = createIndexedHeap<number>()
    const model = new Map<number, number>()
    for (const { key, priority, remove } of operations) {
      if (remove) {
        heap.remove(key)
        model.delete(key)
      } else {
        heap.set(key, priority)
        model.set(key, priority)
      }
    }
    const sorted = [...model.values()].sort((left, right) => left - right)
    const drained: number[] = []
    for (let next = heap.peek(); next !== undefined; next = heap.peek()) {
      if (model.get(next.key) !== next.priority) return false
      drained.push(next.priority)
      heap.remove(next.key)
    }
    return JSON.stringify(drained) === JSON.stringify(sorted)
  }), { seed }))
})

t.test('equal priorities come out in order of insertion, so that ties do not starve anyone', async (t) => {
  const heap = createIndexedHeap<string>()
  for (const key of ['a', 'b', 'c', 'd']) heap.set(key, 1)
  const order: string[] = []
  for (let next = heap.peek(); next !== undefined; next = heap.peek()) {
    order.push(next.key)
    heap.remove(next.key)
  }
  t.same(order, ['a', 'b', 'c', 'd'])
})

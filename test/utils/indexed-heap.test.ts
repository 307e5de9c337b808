// Guards against a heap that returns keys in the wrong order after keys were removed or changed their priority in the middle of the heap.
import fc from 'fast-check'
import t from 'tap'
import { createIndexedHeap } from '../../src/utils/indexed-heap.js'

const seed = 7001

t.test('a heap yields the same order as a sorted list after random changes and removals', async (t) => {
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

t.test('keys of equal priority are returned in order of insertion, so that none of them starves', async (t) => {
  const heap = createIndexedHeap<string>()
  for (const key of ['a', 'b', 'c', 'd']) heap.set(key, 1)
  const order: string[] = []
  for (let next = heap.peek(); next !== undefined; next = heap.peek()) {
    order.push(next.key)
    heap.remove(next.key)
  }
  t.same(order, ['a', 'b', 'c', 'd'])
})

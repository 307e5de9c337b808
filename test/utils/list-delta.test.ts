// Guards against a decoder whose list differs from the encoder's: it would keep that difference for as long as the connection lasts.
import fc from 'fast-check'
import t from 'tap'
import { createListDeltaDecoder, createListDeltaEncoder } from '../../src/utils/list-delta.js'

interface Item { key: string, value: number }

const keyOf = ({ key }: Item): string => key
const sorted = (items: readonly Item[]): Item[] => [...items].sort((left, right) => left.key < right.key ? -1 : 1)

t.test('the decoder returns the encoded list after every delta, whatever changed in between', async (t) => {
  const lists = fc.array(fc.uniqueArray(fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), value: fc.integer({ min: 0, max: 2 }) }), { selector: keyOf }), { maxLength: 12 })
  const property = fc.property(lists, (sequence) => {
    const encoder = createListDeltaEncoder<Item>(keyOf)
    const decoder = createListDeltaDecoder<Item>(keyOf)
    return sequence.every((list) => JSON.stringify(sorted(decoder.decode(encoder.encode(list)))) === JSON.stringify(sorted(list)))
  })
  t.doesNotThrow(() => { fc.assert(property, { seed: 20261204 }) })
})

t.test('an unchanged list is encoded as an empty delta, so that a heartbeat without changes stays small', async (t) => {
  const encoder = createListDeltaEncoder<Item>(keyOf)
  const list = [{ key: 'a', value: 1 }, { key: 'b', value: 2 }]
  t.same(encoder.encode(list), { changed: list, removed: [] })
  t.same(encoder.encode(list), { changed: [], removed: [] })
  t.same(encoder.encode([{ key: 'b', value: 3 }]), { changed: [{ key: 'b', value: 3 }], removed: ['a'] })
})

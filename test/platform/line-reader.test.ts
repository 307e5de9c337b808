import t from 'tap'
import { createLineReader, splitFirstWord } from '../../platform/line-reader.js'

/** Guards against messages that are split, merged or altered because TCP delivers bytes in arbitrary pieces. */

t.test('lines are complete however the bytes are split', async (t) => {
  const text = 'START a b\r\nQUERY 1 READ x\r\n'
  for (let size = 1; size <= text.length; size++) {
    const reader = createLineReader()
    const lines: string[] = []
    for (let start = 0; start < text.length; start += size) lines.push(...reader.push(Buffer.from(text.slice(start, start + size))) ?? [])
    t.same(lines, ['START a b', 'QUERY 1 READ x'], `pieces of ${size} bytes`)
  }
})

t.test('a line over the limit is refused, complete or not', async (t) => {
  t.equal(createLineReader(8).push(Buffer.from('123456789\r\n')), null)
  t.equal(createLineReader(8).push(Buffer.from('123456789')), null)
})

t.test('bytes above 127 pass through unchanged', async (t) => {
  const bytes = Buffer.from([0xc3, 0xa9, 0xff, 13, 10])
  const [line = ''] = createLineReader().push(bytes) ?? []
  t.same(Buffer.from(line, 'latin1'), bytes.subarray(0, 3))
})

t.test('the rest after the first word extends to the end of the line', async (t) => {
  t.same(splitFirstWord('a b  c'), ['a', 'b  c'])
  t.same(splitFirstWord('a'), ['a', ''])
})

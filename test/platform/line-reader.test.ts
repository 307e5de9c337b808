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

t.test('a CR or LF alone is part of its line, however the bytes are split', async (t) => {
  const text = 'QUERY 1 WRITE a\nQUERY 2 WRITE b\rc\n\n\r\r\n\nROW\r\n'
  for (let size = 1; size <= text.length; size++) {
    const reader = createLineReader()
    const lines: string[] = []
    for (let start = 0; start < text.length; start += size) lines.push(...reader.push(Buffer.from(text.slice(start, start + size))) ?? [])
    t.same(lines, ['QUERY 1 WRITE a\nQUERY 2 WRITE b\rc\n\n\r', '\nROW'], `pieces of ${size} bytes`)
  }
})

t.test('the limit counts the bytes of a line without its line end', async (t) => {
  t.same(createLineReader(8).push(Buffer.from('12345678\r\n')), ['12345678'])
  for (const end of ['\r', '\r\n']) {
    const reader = createLineReader(8)
    t.same(reader.push(Buffer.from('12345678\r')), [])
    t.equal(reader.push(Buffer.from(end)), null, 'a CR that no LF follows is part of the line')
  }
  const reader = createLineReader(8)
  t.same(reader.push(Buffer.from('12345678\r')), [])
  t.same(reader.push(Buffer.from('\n')), ['12345678'])
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

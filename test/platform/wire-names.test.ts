import fc from 'fast-check'
import t from 'tap'
import { decodeUtf8, decodeWireName, encodeWireName, isWireName } from '../../platform/wire-names.js'

/** Guards against two names that become the same bytes, and against names that add a field or a message. */

const SEED = 20261205

t.test('a name reads back from its bytes, so different names have different bytes', async (t) => {
  fc.assert(fc.property(fc.string({ unit: 'binary' }), (name) => decodeWireName(encodeWireName(name)) === name), { seed: SEED, numRuns: 2000 })
  t.same(Buffer.from(encodeWireName('chợ-mơ'), 'latin1'), Buffer.from('chợ-mơ'))
})

t.test('the bytes of a name contain no separator and no line end', async (t) => {
  fc.assert(fc.property(fc.string({ unit: 'binary' }).filter(isWireName), (name) => !/[ \t\r\n\0]/.test(encodeWireName(name))), { seed: SEED, numRuns: 2000 })
  // The low bytes of these characters are a blank, CR and LF.
  t.notMatch(encodeWireName('\u0120\u010d\u010a'), /[ \r\n]/)
})

t.test('names that a message can not carry are recognised', async (t) => {
  for (const name of ['', ' ', 'a b', 'a\tb', 'a\r', '\na', 'a\0b', '\ud800', 'a\udc00b']) t.notOk(isWireName(name), JSON.stringify(name))
  for (const name of ['a', 'chợ-mơ', '\u0120\u010d\u010a', '😀', '__proto__', 'constructor', '\ufeffa', '\ufffd']) t.ok(isWireName(name), JSON.stringify(name))
})

t.test('bytes that are not UTF-8 have no text, not even one with replacement characters', async (t) => {
  for (const bytes of [[0xe9], [0xc0, 0xaf], [0xed, 0xa0, 0x80], [0x61, 0xc3]]) t.equal(decodeUtf8(Buffer.from(bytes)), null)
  t.equal(decodeUtf8(Buffer.from('\ufeffa')), '\ufeffa', 'a byte order mark stays')
})

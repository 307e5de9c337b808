// Guards against a session token that a header or a caller has changed and that still decodes: the session would then no longer see
// its own writes.
import fc from 'fast-check'
import t from 'tap'
import { decodeSessionToken, encodeSessionToken } from '../../../src/decisions/sessions/session-token.js'
import { groupId } from '../../../src/types/ids.js'

const SEED = 20261204

const tokens = fc.record({
  group: fc.string({ minLength: 1, maxLength: 40, unit: 'grapheme' }).map(groupId),
  position: fc.record({ term: fc.maxSafeNat(), offset: fc.maxSafeNat() })
})

t.test('a token can be decoded after a transfer in a header', async (t) => {
  fc.assert(fc.property(tokens, (value) => {
    const text = encodeSessionToken(value)
    t.match(text, /^[\w.-]+$/)
    t.same(decodeSessionToken(text)._unsafeUnwrap(), value)
  }), { seed: SEED, numRuns: 200 })
})

t.test('a token with any changed, missing or added character is refused, so that a session never loses its position', async (t) => {
  let testedCount = 0
  fc.assert(fc.property(tokens, fc.nat(), fc.constantFrom('', '0', 'Z', '.', '-', '00'), fc.nat(1), (value, place, insert, removed) => {
    const text = encodeSessionToken(value)
    const index = place % text.length
    const damaged = text.slice(0, index) + insert + text.slice(index + removed)
    if (damaged === text) return
    testedCount++
    t.ok(decodeSessionToken(damaged).isErr(), damaged)
  }), { seed: SEED, numRuns: 2000 })
  t.ok(testedCount > 1000)
})

t.test('text that is not a token is refused with the reason', async (t) => {
  t.equal(decodeSessionToken('')._unsafeUnwrapErr(), 'malformed')
  t.equal(decodeSessionToken('1.a.b.c')._unsafeUnwrapErr(), 'malformed')
  t.equal(decodeSessionToken('1.'.repeat(1000))._unsafeUnwrapErr(), 'malformed')
  t.equal(decodeSessionToken('1.b3JkZXJz.1.1.AAAAAAAA')._unsafeUnwrapErr(), 'damaged')
})

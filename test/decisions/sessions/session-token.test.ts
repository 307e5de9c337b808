// Guards against a session token that a header or a caller has changed and that still decodes: the session would then no longer see
// its own writes.
import fc from 'fast-check'
import t from 'tap'
import { addSessionPosition, decodeSessionToken, encodeSessionToken } from '../../../src/decisions/sessions/session-token.js'
import { groupId } from '../../../src/types/ids.js'
import type { SessionToken } from '../../../src/types/session-token.js'

const SEED = 20261204

const positions = fc.record({
  group: fc.string({ minLength: 1, maxLength: 40, unit: 'grapheme' }).map(groupId),
  position: fc.record({ term: fc.maxSafeNat(), offset: fc.maxSafeNat() })
})
/** Tokens of sessions that have written at several groups, some of them more than once. */
const tokens = fc.array(positions, { minLength: 1, maxLength: 12 }).map((writes) => writes.reduce<SessionToken | null>(addSessionPosition, null) as SessionToken)

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

t.test('a session sees the last write at each group, or its token says that positions are missing', async (t) => {
  fc.assert(fc.property(fc.array(positions, { minLength: 1, maxLength: 12 }), (writes) => {
    const token = writes.reduce<SessionToken | null>(addSessionPosition, null) as SessionToken
    const lastWrites = new Map(writes.map(({ group, position }) => [group, position]))
    for (const [group, position] of lastWrites) {
      const held = token.positions.find((held) => held.group === group)
      if (held === undefined) t.equal(token.isPartial, true)
      else t.same(held.position, position)
    }
    t.same(token.positions[0], writes.at(-1))
  }), { seed: SEED, numRuns: 500 })
})

t.test('a token of one group can be read by instances of earlier releases', async (t) => {
  const token = addSessionPosition(null, { group: groupId('orders'), position: { term: 35, offset: 36 } })
  t.match(encodeSessionToken(token), /^1\.b3JkZXJz\.z\.10\.[\w-]{8}$/)
})

t.test('a token that names a group twice is refused', async (t) => {
  const position = { group: groupId('orders'), position: { term: 1, offset: 1 } }
  t.equal(decodeSessionToken(encodeSessionToken({ positions: [position, position], isPartial: false }))._unsafeUnwrapErr(), 'malformed')
})

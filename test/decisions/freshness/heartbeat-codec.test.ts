// Heartbeats and answers are sent as differences. Guards against a decoder that keeps items which the sender no longer lists, and against
// silences that change on the way, as the leader decides on failovers by them.
import t from 'tap'
import { createAnswerDecoder, createAnswerEncoder, createHeartbeatDecoder, createHeartbeatEncoder } from '../../../src/decisions/freshness/heartbeat-codec.js'
import type { Heartbeat, HeartbeatAnswer } from '../../../src/types/control-message.js'
import { address, databaseId, failureDomainId, groupId, incarnationId, instanceId, resourceId } from '../../../src/types/ids.js'

const slots = resourceId('slots', 'd')

function buildHeartbeat (sequence: number, change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    version: 1,
    kind: 'heartbeat',
    sequence,
    instance: instanceId('i'),
    incarnation: incarnationId('i.1'),
    peerAddress: address('i:1'),
    failureDomain: failureDomainId('north'),
    draining: false,
    leaderTerm: 1,
    manifestVersion: 1,
    directoryVersion: { leaderTerm: 1, counter: 1 },
    held: [{ resource: slots, amount: 2, burst: 0, grant: 5, returnedTokens: 0 }],
    demand: [{ resource: slots, amount: 3 }],
    observations: [{ database: databaseId('d'), status: null, silentForMs: 1200 }],
    releasedTerms: [{ group: groupId('g'), term: 4 }],
    ...change
  }
}

t.test('a decoded heartbeat equals the encoded one, also when it lists fewer items than the previous heartbeat', async (t) => {
  const encode = createHeartbeatEncoder()
  const decode = createHeartbeatDecoder()
  const sent = [buildHeartbeat(1), buildHeartbeat(2), buildHeartbeat(3, { held: [], demand: [], draining: true }), buildHeartbeat(4, { releasedTerms: [], observations: [] })]
  for (const message of sent) t.same(decode(encode(message)), message)
})

t.test('a heartbeat without a known sender is not decoded, as no instance could be answered', async (t) => {
  const encode = createHeartbeatEncoder()
  encode(buildHeartbeat(1))
  t.equal(createHeartbeatDecoder()(encode(buildHeartbeat(2))), null)
})

t.test('a silence long enough to count towards a failover is sent unchanged; a shorter one is sent as 0', async (t) => {
  const encode = createHeartbeatEncoder()
  const decode = createHeartbeatDecoder()
  const silences = [0, 299, 300, 1000].map((silentForMs) => decode(encode(buildHeartbeat(1, { observations: [{ database: databaseId('d'), status: null, silentForMs }] })))?.observations[0]?.silentForMs)
  t.same(silences, [0, 0, 300, 1000])
})

t.test('a share that an answer no longer lists is removed', async (t) => {
  const encode = createAnswerEncoder()
  const decode = createAnswerDecoder()
  const answer: HeartbeatAnswer = { version: 1, kind: 'heartbeat-answer', sequence: 1, leaderTerm: 1, manifestVersion: 1, directoryVersion: { leaderTerm: 1, counter: 1 }, shares: [{ resource: slots, amount: 2, burst: 0, grant: 5, tokens: 0 }] }
  t.same(decode(encode(answer)), answer)
  t.same(decode(encode({ ...answer, sequence: 2 })), { ...answer, sequence: 2 })
  t.same(decode(encode({ ...answer, sequence: 3, shares: [] })).shares, [])
})

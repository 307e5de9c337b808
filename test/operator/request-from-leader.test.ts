// The leader may accept a commit although its answer is lost. An operator who then reads "refused" or "no leader" would believe
// that nothing changed. Once an instance may have received the commit, the result is `unknown` unless the leader answers a retry.
import { err, ok } from 'neverthrow'
import t from 'tap'
import type { ControlResponse, SendFailure } from '../../src/adapters/http/send-to-control.js'
import { requestFromLeader } from '../../src/operator/request-from-leader.js'
import type { ControlAnswer } from '../../src/operator/request-from-leader.js'
import { address } from '../../src/types/ids.js'
import type { ResultName } from '../../src/types/result-code.js'
import { buildRefusal, resultCodes } from '../../src/types/result-code.js'

type Reply = ControlResponse | SendFailure

const accepted: Reply = { status: 200, body: { manifestVersion: 3 } }
const unconfirmed: Reply = { status: 200, body: { report: 'status', freshness: { proven: false, leaderAddress: null } } }
const down: Reply = { maybeSent: false, message: 'ECONNREFUSED' }
const lostAnswer: Reply = { maybeSent: true, message: 'ECONNRESET' }
const otherServerPage: Reply = { status: 200, body: null }
const gatewayError: Reply = { status: 502, body: { error: 'Bad Gateway' } }
const refused = (name: ResultName, outcome: 'not-run' | 'unknown' = 'not-run', extra: object = {}): Reply => ({ status: resultCodes[name].status, body: { ...buildRefusal(name, outcome, name), ...extra } })

/** Sends one request, first to the instance a and then to b. Each instance sends its replies in order and repeats the last one. */
async function requestWithReplies (method: 'GET' | 'POST', replies: Record<string, Reply[]>): Promise<{ answer: ControlAnswer, requested: string[] }> {
  const requested: string[] = []
  const answer = await requestFromLeader({
    addresses: [address('a'), address('b')],
    pause: async () => {},
    send: async (instance) => {
      const queue = replies[instance] ?? [down]
      const reply = queue.length > 1 ? queue.shift() : queue[0]
      requested.push(instance)
      if (reply === undefined) throw new RangeError(`no reply of ${instance}`)
      return 'maybeSent' in reply ? err(reply) : ok(reply)
    }
  }, { method, path: '/v1/manifest' })
  return { answer, requested }
}

const commits: [string, Record<string, Reply[]>, ControlAnswer['kind'], string][] = [
  ['an unreachable instance before the leader', { a: [down], b: [accepted] }, 'answered', 'ab'],
  ['a lost answer and an accepted retry', { a: [lostAnswer], b: [accepted] }, 'answered', 'ab'],
  ['a lost answer and a retry that conflicts', { a: [lostAnswer], b: [refused('manifestConflict')] }, 'refused', 'ab'],
  ['a lost answer and no other reachable instance', { a: [lostAnswer] }, 'unknown', 'ababab'],
  ['an unknown outcome and a credential that another instance refuses', { a: [refused('commitUnknown', 'unknown')], b: [refused('operatorRefused')] }, 'unknown', 'ab'],
  ['an internal error after the commit may have run', { a: [refused('internalError', 'unknown')] }, 'unknown', 'ababab'],
  ['a page of another server in place of an answer', { a: [otherServerPage], b: [down] }, 'unknown', 'ababab'],
  ['a gateway that may have forwarded the commit', { a: [gatewayError], b: [down] }, 'unknown', 'ababab'],
  ['no reachable instance', {}, 'no-leader', 'ababab'],
  ['a credential that every instance refuses', { a: [refused('operatorRefused')], b: [refused('operatorRefused')] }, 'credential-refused', 'ab'],
  ['an invalid manifest', { a: [refused('manifestInvalid')] }, 'refused', 'a'],
  ['a leader that only another instance names', { a: [refused('notLeader', 'not-run', { leaderAddress: 'c' })], c: [accepted] }, 'answered', 'ac'],
  ['two instances that name each other as leader', { a: [refused('notLeader', 'not-run', { leaderAddress: 'b' })], b: [refused('notLeader', 'not-run', { leaderAddress: 'a' })] }, 'no-leader', 'ababab'],
  ['an election that ends in the second round', { a: [refused('notLeader'), accepted], b: [refused('notLeader')] }, 'answered', 'aba']
]
for (const [situation, replies, kind, expectedInstances] of commits) {
  t.test(`a commit with ${situation} ends as ${kind}`, async (t) => {
    const result = await requestWithReplies('POST', replies)
    t.equal(result.answer.kind, kind)
    t.equal(result.requested.join(''), expectedInstances)
  })
}

t.test('an unconfirmed report is returned only if no instance has a confirmed one', async (t) => {
  t.equal((await requestWithReplies('GET', { a: [unconfirmed], b: [accepted] })).answer.kind, 'answered')
  t.equal((await requestWithReplies('GET', { a: [unconfirmed] })).answer.kind, 'unproven')
  t.equal((await requestWithReplies('GET', { a: [lostAnswer] })).answer.kind, 'no-leader', 'a read has no unknown outcome')
})

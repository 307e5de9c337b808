import { err, ok } from 'neverthrow'
import t from 'tap'
import type { ControlResponse, SendFailure } from '../../src/adapters/http/send-to-control.js'
import { requestFromLeader } from '../../src/operator/request-from-leader.js'
import type { ControlAnswer } from '../../src/operator/request-from-leader.js'
import { address } from '../../src/types/ids.js'
import type { ResultName } from '../../src/types/result-code.js'
import { refuse, resultCodes } from '../../src/types/result-code.js'

type Reply = ControlResponse | SendFailure

const accepted: Reply = { status: 200, body: { manifestVersion: 3 } }
const unproven: Reply = { status: 200, body: { report: 'status', freshness: { proven: false, leaderAddress: null } } }
const down: Reply = { maybeSent: false, message: 'ECONNREFUSED' }
const lost: Reply = { maybeSent: true, message: 'ECONNRESET' }
const portal: Reply = { status: 200, body: null }
const gateway: Reply = { status: 502, body: { error: 'Bad Gateway' } }
const refused = (name: ResultName, outcome: 'not-run' | 'unknown' = 'not-run', extra: object = {}): Reply => ({ status: resultCodes[name].status, body: { ...refuse(name, outcome, name), ...extra } })

/** Replies of the instances a, b and c to each request; each repeats its last one. */
async function ask (method: 'GET' | 'POST', replies: Record<string, Reply[]>): Promise<{ answer: ControlAnswer, asked: string[] }> {
  const asked: string[] = []
  const answer = await requestFromLeader({
    addresses: [address('a'), address('b')],
    pause: async () => {},
    send: async (name) => {
      const queue = replies[name] ?? [down]
      const reply = queue.length > 1 ? queue.shift() : queue[0]
      asked.push(name)
      if (reply === undefined) throw new RangeError(`no reply of ${name}`)
      return 'maybeSent' in reply ? err(reply) : ok(reply)
    }
  }, { method, path: '/v1/manifest' })
  return { answer, asked }
}

const commits: [string, Record<string, Reply[]>, ControlAnswer['kind'], string][] = [
  ['an instance that is down before the leader', { a: [down], b: [accepted] }, 'answered', 'ab'],
  ['an answer that is lost and a resend that is accepted', { a: [lost], b: [accepted] }, 'answered', 'ab'],
  ['an answer that is lost and a resend that conflicts', { a: [lost], b: [refused('manifestConflict')] }, 'refused', 'ab'],
  ['an answer that is lost and nobody else', { a: [lost] }, 'unknown', 'ababab'],
  ['an unknown commit and a credential refused elsewhere', { a: [refused('commitUnknown', 'unknown')], b: [refused('operatorRefused')] }, 'unknown', 'ab'],
  ['an internal error after the commit may have run', { a: [refused('internalError', 'unknown')] }, 'unknown', 'ababab'],
  ['a page of another server in place of an answer', { a: [portal], b: [down] }, 'unknown', 'ababab'],
  ['a gateway that may have passed the commit on', { a: [gateway], b: [down] }, 'unknown', 'ababab'],
  ['nobody that was reached', {}, 'no-leader', 'ababab'],
  ['a credential that is refused everywhere', { a: [refused('operatorRefused')], b: [refused('operatorRefused')] }, 'credential-refused', 'ab'],
  ['an invalid manifest', { a: [refused('manifestInvalid')] }, 'refused', 'a'],
  ['a leader that only another instance names', { a: [refused('notLeader', 'not-run', { leaderAddress: 'c' })], c: [accepted] }, 'answered', 'ac'],
  ['two instances that name each other', { a: [refused('notLeader', 'not-run', { leaderAddress: 'b' })], b: [refused('notLeader', 'not-run', { leaderAddress: 'a' })] }, 'no-leader', 'ababab'],
  ['an election that ends in the second round', { a: [refused('notLeader'), accepted], b: [refused('notLeader')] }, 'answered', 'aba']
]
for (const [fault, replies, kind, asked] of commits) {
  t.test(`a commit that meets ${fault} ends as ${kind}, so that no outcome is claimed that is not known`, async (t) => {
    const result = await ask('POST', replies)
    t.equal(result.answer.kind, kind)
    t.equal(result.asked.join(''), asked)
  })
}

t.test('a report that can not be proven is handed on only when nobody can prove one', async (t) => {
  t.equal((await ask('GET', { a: [unproven], b: [accepted] })).answer.kind, 'answered')
  t.equal((await ask('GET', { a: [unproven] })).answer.kind, 'unproven')
  t.equal((await ask('GET', { a: [lost] })).answer.kind, 'no-leader', 'reading again does no harm')
})

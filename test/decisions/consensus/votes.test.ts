import t from 'tap'
import type { TermVote } from '../../../src/types/consensus-entry.js'
import type { Vote } from '../../../src/types/consensus-message.js'
import { memberId } from '../../../src/types/ids.js'
import { createSingleMember, headerFrom, logOfTerms, sentOf } from '../../fixtures/single-member.js'

// The own log of every case ends with entry 3 of term 2.
const entries = logOfTerms([1, 2])
const upToDate = { lastIndex: 3, lastTerm: 2 }
const vote = (from: 2 | 3, term: number, end: { lastIndex: number, lastTerm: number }): Vote => ({ ...headerFrom(from, term), ...end, kind: 'vote' })
const free: TermVote = { term: 2, votedFor: null }

const voteCases: { guards: string, restored: TermVote, requests: Vote[], granted: boolean[] }[] = [
  { guards: 'an equal log gets the vote', restored: free, requests: [vote(2, 3, upToDate)], granted: [true] },
  { guards: 'a shorter log may lack committed entries', restored: free, requests: [vote(2, 3, { lastIndex: 2, lastTerm: 2 })], granted: [false] },
  { guards: 'a longer log of an older term may lack committed entries', restored: free, requests: [vote(2, 3, { lastIndex: 9, lastTerm: 1 })], granted: [false] },
  { guards: 'a shorter log of a newer term gets the vote', restored: free, requests: [vote(2, 4, { lastIndex: 2, lastTerm: 3 })], granted: [true] },
  { guards: 'one term has one vote', restored: free, requests: [vote(2, 3, upToDate), vote(3, 3, upToDate)], granted: [true, false] },
  { guards: 'a repeated request gets the same vote', restored: free, requests: [vote(2, 3, upToDate), vote(2, 3, upToDate)], granted: [true, true] },
  { guards: 'a vote given before a restart binds', restored: { term: 3, votedFor: memberId('m3') }, requests: [vote(2, 3, upToDate)], granted: [false] },
  { guards: 'a request of an old term is refused', restored: free, requests: [vote(2, 1, upToDate)], granted: [false] }
]

for (const { guards, restored, requests, granted } of voteCases) {
  t.test(`vote: ${guards}`, async (t) => {
    const member = createSingleMember({ entries, vote: restored })
    const answers = requests.flatMap((request) => sentOf(member.receiveAndSync(request), 'vote-answer'))
    t.same(answers.map((answer) => answer.granted), granted)
  })
}

t.test('a vote is answered only after its sync, as a crash would forget it', async (t) => {
  const member = createSingleMember({ entries, vote: free })
  t.same(sentOf(member.receive(vote(2, 3, upToDate)), 'vote-answer'), [])
  t.equal(sentOf(member.sync(), 'vote-answer')[0]?.granted, true)
})

t.test('a candidate asks for votes only after its own vote was synced', async (t) => {
  const member = createSingleMember({ entries, vote: free })
  t.equal(sentOf(member.wait(1000), 'pre-vote').length, 2)
  const began = member.receive({ ...headerFrom(2, 2), kind: 'pre-vote-answer', nextTerm: 3, granted: true })
  t.same(sentOf(began, 'vote'), [])
  t.equal(sentOf(member.sync(), 'vote').length, 2)
})

const preVoteCases = [
  { guards: 'a member without a leader agrees', hearsLeader: false, end: upToDate, nextTerm: 3, granted: true },
  { guards: 'a member that hears its leader keeps it', hearsLeader: true, end: upToDate, nextTerm: 3, granted: false },
  { guards: 'a log that lacks entries could not win', hearsLeader: false, end: { lastIndex: 2, lastTerm: 2 }, nextTerm: 3, granted: false },
  { guards: 'a term that is over could not win', hearsLeader: false, end: upToDate, nextTerm: 2, granted: false }
]

for (const { guards, hearsLeader, end, nextTerm, granted } of preVoteCases) {
  t.test(`pre-vote: ${guards}, and no term changes`, async (t) => {
    const member = createSingleMember({ entries, vote: free })
    if (hearsLeader) {
      member.receiveAndSync({ ...headerFrom(3, 2), kind: 'append', entryAddress: headerFrom(3, 2).fromAddress, round: 1, previousIndex: 3, previousTerm: 2, entries: [], commitIndex: 0 })
      member.wait(200)
    }
    const answers = sentOf(member.receiveAndSync({ ...headerFrom(2, nextTerm - 1), ...end, kind: 'pre-vote', nextTerm }), 'pre-vote-answer')
    t.same(answers.map((answer) => answer.granted), [granted])
    t.equal(member.view().term, 2)
  })
}

// Guards against an elected leader that lacks committed entries, and against two leaders in one term. The first happens when a member
// votes for a shorter or older log, the second when a member votes twice in a term, for instance because a crash lost its vote.
import t from 'tap'
import type { TermVote } from '../../../src/types/consensus-entry.js'
import type { Vote } from '../../../src/types/consensus-message.js'
import { memberId } from '../../../src/types/ids.js'
import { createSingleMember, headerFrom, logOfTerms, sentMessagesOf } from '../../fixtures/single-member.js'

// In every case, this member's log ends with entry 3 of term 2.
const entries = logOfTerms([1, 2])
const upToDate = { lastIndex: 3, lastTerm: 2 }
const vote = (from: 2 | 3, term: number, end: { lastIndex: number, lastTerm: number }): Vote => ({ ...headerFrom(from, term), ...end, kind: 'vote' })
const noVote: TermVote = { term: 2, votedFor: null }

const voteCases: { behaviour: string, restored: TermVote, requests: Vote[], granted: boolean[] }[] = [
  { behaviour: 'a candidate with an equal log gets the vote', restored: noVote, requests: [vote(2, 3, upToDate)], granted: [true] },
  { behaviour: 'a candidate with a shorter log is refused, as it may lack committed entries', restored: noVote, requests: [vote(2, 3, { lastIndex: 2, lastTerm: 2 })], granted: [false] },
  { behaviour: 'a candidate with a longer log of an older term is refused, as it may lack committed entries', restored: noVote, requests: [vote(2, 3, { lastIndex: 9, lastTerm: 1 })], granted: [false] },
  { behaviour: 'a candidate with a shorter log of a newer term gets the vote', restored: noVote, requests: [vote(2, 4, { lastIndex: 2, lastTerm: 3 })], granted: [true] },
  { behaviour: 'a second candidate in the same term is refused', restored: noVote, requests: [vote(2, 3, upToDate), vote(3, 3, upToDate)], granted: [true, false] },
  { behaviour: 'a repeated request gets the same vote', restored: noVote, requests: [vote(2, 3, upToDate), vote(2, 3, upToDate)], granted: [true, true] },
  { behaviour: 'a vote given before a restart still binds', restored: { term: 3, votedFor: memberId('m3') }, requests: [vote(2, 3, upToDate)], granted: [false] },
  { behaviour: 'a request of an old term is refused', restored: noVote, requests: [vote(2, 1, upToDate)], granted: [false] }
]

for (const { behaviour, restored, requests, granted } of voteCases) {
  t.test(`vote: ${behaviour}`, async (t) => {
    const member = createSingleMember({ entries, vote: restored })
    const answers = requests.flatMap((request) => sentMessagesOf(member.receiveAndSync(request), 'vote-answer'))
    t.same(answers.map((answer) => answer.granted), granted)
  })
}

t.test('a vote is answered only after its sync, as a crash could lose it', async (t) => {
  const member = createSingleMember({ entries, vote: noVote })
  t.same(sentMessagesOf(member.receive(vote(2, 3, upToDate)), 'vote-answer'), [])
  t.equal(sentMessagesOf(member.sync(), 'vote-answer')[0]?.granted, true)
})

t.test('a candidate requests votes only after its own vote was synced', async (t) => {
  const member = createSingleMember({ entries, vote: noVote })
  t.equal(sentMessagesOf(member.wait(1000), 'pre-vote').length, 2)
  const effectsOfPreVote = member.receive({ ...headerFrom(2, 2), kind: 'pre-vote-answer', nextTerm: 3, granted: true })
  t.same(sentMessagesOf(effectsOfPreVote, 'vote'), [])
  t.equal(sentMessagesOf(member.sync(), 'vote').length, 2)
})

const preVoteCases = [
  { behaviour: 'a member without a leader grants it', hasActiveLeader: false, end: upToDate, nextTerm: 3, granted: true },
  { behaviour: 'a member that receives messages from its leader refuses it', hasActiveLeader: true, end: upToDate, nextTerm: 3, granted: false },
  { behaviour: 'a candidate whose log lacks entries is refused, as it could not win', hasActiveLeader: false, end: { lastIndex: 2, lastTerm: 2 }, nextTerm: 3, granted: false },
  { behaviour: 'a request for a term that has already begun is refused, as it could not win', hasActiveLeader: false, end: upToDate, nextTerm: 2, granted: false }
]

for (const { behaviour, hasActiveLeader, end, nextTerm, granted } of preVoteCases) {
  t.test(`pre-vote: ${behaviour}, and no term changes`, async (t) => {
    const member = createSingleMember({ entries, vote: noVote })
    if (hasActiveLeader) {
      member.receiveAndSync({ ...headerFrom(3, 2), kind: 'append', entryAddress: headerFrom(3, 2).fromAddress, round: 1, previousIndex: 3, previousTerm: 2, entries: [], commitIndex: 0 })
      member.wait(200)
    }
    const answers = sentMessagesOf(member.receiveAndSync({ ...headerFrom(2, nextTerm - 1), ...end, kind: 'pre-vote', nextTerm }), 'pre-vote-answer')
    t.same(answers.map((answer) => answer.granted), [granted])
    t.equal(member.view().term, 2)
  })
}

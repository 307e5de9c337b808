// A leader that was cut off and replaced must not confirm its leadership, because its state may lack committed entries.
// This happens when an answer counts that says nothing about the present: one of an earlier round, of a learner or of an old term.
import t from 'tap'
import type { ConsensusEffect } from '../../../src/decisions/consensus/consensus-effect.js'
import type { ControlMember } from '../../../src/types/consensus-entry.js'
import { address, memberId } from '../../../src/types/ids.js'
import { appendAnswer, createSingleMember, headerFrom, logOfTerms, sentMessagesOf, voters } from '../../fixtures/single-member.js'

const confirmedOf = (effects: ConsensusEffect[]): number[] => effects.flatMap((effect) => effect.kind === 'confirmation-result' && effect.result.isOk() ? [effect.confirmation] : [])
const roundOf = (effects: ConsensusEffect[]): number => sentMessagesOf(effects, 'append').at(-1)?.round ?? 0

/** @returns a leader whose first entry is committed */
function createEstablishedLeader (members: ControlMember[] = voters) {
  const member = createSingleMember({ entries: logOfTerms([], members) })
  const { term } = member.lead()
  member.sync()
  member.receive(appendAnswer(2, term, { round: 1, matchIndex: 2 }))
  return { member, term }
}

t.test('an answer to a round that began before the request confirms nothing, as another leader may have been elected since', async (t) => {
  const { member, term } = createEstablishedLeader()
  const earlierRound = roundOf(member.wait(100))
  const requestedRound = roundOf(member.handle({ kind: 'confirm', confirmation: 1 }))
  t.ok(requestedRound > earlierRound)
  t.same(confirmedOf(member.receive(appendAnswer(2, term, { round: earlierRound, matchIndex: 2 }))), [])
  t.same(confirmedOf(member.receive(appendAnswer(2, term, { round: requestedRound, matchIndex: 2 }))), [1])
})

t.test('requests during a round wait for the next round and share it', async (t) => {
  const { member, term } = createEstablishedLeader()
  const firstRound = roundOf(member.handle({ kind: 'confirm', confirmation: 1 }))
  t.same([2, 3].flatMap((confirmation) => member.handle({ kind: 'confirm', confirmation })), [], 'a request during a round sends no message')
  const effectsOfAnswer = member.receive(appendAnswer(2, term, { round: firstRound, matchIndex: 2 }))
  t.same(confirmedOf(effectsOfAnswer), [1])
  t.equal(roundOf(effectsOfAnswer), firstRound + 1)
  t.same(confirmedOf(member.receive(appendAnswer(3, term, { round: firstRound + 1, matchIndex: 2 }))), [2, 3])
})

t.test('a new leader confirms nothing before its first entry is committed, as its state may lack committed entries', async (t) => {
  const member = createSingleMember({ entries: logOfTerms([]) })
  const { term } = member.lead()
  member.handle({ kind: 'confirm', confirmation: 1 })
  const round = roundOf(member.wait(75))
  t.same(confirmedOf(member.receive(appendAnswer(2, term, { round, matchIndex: 1 }))), [])
  member.sync()
  const effectsOfCommit = member.receive(appendAnswer(2, term, { round, matchIndex: 2 }))
  t.same(confirmedOf(effectsOfCommit), [1])
})

t.test('the answer of a learner does not count for a confirmation', async (t) => {
  const learner: ControlMember = { member: memberId('m3'), address: address('10.0.0.3:7000'), role: 'learner' }
  const { member, term } = createEstablishedLeader([...voters.slice(0, 2), learner])
  const round = roundOf(member.handle({ kind: 'confirm', confirmation: 1 }))
  t.same(confirmedOf(member.receive(appendAnswer(3, term, { round, matchIndex: 2 }))), [])
  t.same(confirmedOf(member.receive(appendAnswer(2, term, { round, matchIndex: 2 }))), [1])
})

t.test('the answer of an old term confirms nothing', async (t) => {
  const { member, term } = createEstablishedLeader()
  const round = roundOf(member.handle({ kind: 'confirm', confirmation: 1 }))
  t.same(confirmedOf(member.receive({ ...appendAnswer(2, term, { round }), ...headerFrom(2, term - 1) })), [])
})

// Guards against logs that differ in a committed entry and against acknowledged entries that a crash loses. This happens when a follower
// keeps conflicting entries or answers before its sync, and when a leader commits entries that a later leader may still replace.
import t from 'tap'
import type { LogEntry } from '../../../src/types/consensus-entry.js'
import { clusterId } from '../../../src/types/consensus-entry.js'
import type { Append } from '../../../src/types/consensus-message.js'
import { memberId } from '../../../src/types/ids.js'
import { createEmptyReplicatedState } from '../../../src/decisions/manifest/apply-command.js'
import { buildManifestCommand } from '../../fixtures/build-manifest-command.js'
import { appendAnswer, cluster, createSingleMember, headerFrom, logOfTerms, sentMessagesOf, voters } from '../../fixtures/single-member.js'

function append (term: number, fields: Partial<Append>): Append {
  return { ...headerFrom(2, term), kind: 'append', entryAddress: headerFrom(2, term).fromAddress, round: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, ...fields }
}
const entry = (index: number, term: number): LogEntry => ({ index, term, payload: { kind: 'leadership' } })

// In every case, this member's log has entries of the terms 1, 1, 2, 2, nothing is committed, and the member's term is 3.
const appendCases: { behaviour: string, message: Append, answer: object, terms: number[], commitIndex: number }[] = [
  { behaviour: 'a leader of an old term is refused with the new term and changes nothing', message: append(2, { previousIndex: 4, previousTerm: 2, entries: [entry(5, 2)] }), answer: { term: 3, accepted: false }, terms: [1, 1, 2, 2], commitIndex: 0 },
  { behaviour: 'a gap is refused with the end of the log', message: append(3, { previousIndex: 9, previousTerm: 3 }), answer: { accepted: false, nextIndex: 5 }, terms: [1, 1, 2, 2], commitIndex: 0 },
  { behaviour: 'a conflict is refused with the start of its term', message: append(3, { previousIndex: 4, previousTerm: 3 }), answer: { accepted: false, nextIndex: 3 }, terms: [1, 1, 2, 2], commitIndex: 0 },
  { behaviour: 'conflicting entries are replaced', message: append(3, { previousIndex: 2, previousTerm: 1, entries: [entry(3, 3)] }), answer: { accepted: true, matchIndex: 3 }, terms: [1, 1, 3], commitIndex: 0 },
  { behaviour: 'a delayed append of known entries does not remove the entries after them', message: append(3, { previousIndex: 1, previousTerm: 1, entries: [entry(2, 1), entry(3, 2)] }), answer: { accepted: true, matchIndex: 3 }, terms: [1, 1, 2, 2], commitIndex: 0 },
  { behaviour: 'entries that were not compared with the leader are not committed', message: append(3, { previousIndex: 2, previousTerm: 1, commitIndex: 4 }), answer: { accepted: true, matchIndex: 2 }, terms: [1, 1, 2, 2], commitIndex: 2 }
]

for (const { behaviour, message, answer, terms, commitIndex } of appendCases) {
  t.test(`append: ${behaviour}`, async (t) => {
    const member = createSingleMember({ entries: logOfTerms([1, 2, 2]), vote: { term: 3, votedFor: null } })
    t.match(sentMessagesOf(member.receiveAndSync(message), 'append-answer'), [answer])
    const { log } = member.view()
    t.same(log.entriesFrom(1).map((logEntry) => logEntry.term), terms)
    t.equal(member.view().commitIndex, commitIndex)
  })
}

const snapshotCases = [
  { behaviour: 'entries that continue it are kept, as the leader may have counted them', snapshot: { index: 3, term: 2 }, lastIndex: 4 },
  { behaviour: 'entries that conflict with it are dropped', snapshot: { index: 3, term: 3 }, lastIndex: 3 },
  { behaviour: 'a log that ends before it is replaced', snapshot: { index: 9, term: 3 }, lastIndex: 9 }
]
for (const { behaviour, snapshot, lastIndex } of snapshotCases) {
  t.test(`snapshot: ${behaviour}`, async (t) => {
    const member = createSingleMember({ entries: logOfTerms([1, 2, 2]), vote: { term: 3, votedFor: null } })
    const state = { ...createEmptyReplicatedState(), manifestVersion: 7 }
    const { previousIndex, previousTerm, entries, commitIndex, ...fields } = append(3, {})
    const answers = sentMessagesOf(member.receiveAndSync({ ...fields, kind: 'snapshot', snapshot: { ...snapshot, cluster, members: voters, state } }), 'append-answer')
    t.match(answers, [{ accepted: true, matchIndex: snapshot.index }])
    t.match(member.view(), { commitIndex: snapshot.index, state })
    t.equal(member.view().log.lastIndex(), lastIndex)
  })
}

t.test('an append is answered only after its entries were synced', async (t) => {
  const member = createSingleMember({ entries: logOfTerms([]) })
  t.same(sentMessagesOf(member.receive(append(1, { previousIndex: 1, previousTerm: 1, entries: [entry(2, 1)] })), 'append-answer'), [])
  t.match(sentMessagesOf(member.sync(), 'append-answer'), [{ accepted: true, matchIndex: 2 }])
})

const foreignMessages: { behaviour: string, message: Append }[] = [
  { behaviour: 'another member id, as the folder at this address was emptied', message: append(9, { to: memberId('former member') }) },
  { behaviour: 'another cluster', message: append(9, { cluster: clusterId('other cluster') }) }
]
for (const { behaviour, message } of foreignMessages) {
  t.test(`a message to ${behaviour} is dropped`, async (t) => {
    const member = createSingleMember({ entries: logOfTerms([]) })
    t.same(member.receiveAndSync(message), [])
    t.equal(member.view().term, 1)
  })
}

t.test('entries of an earlier term are not committed by counting replicas, as a later leader may still replace them', async (t) => {
  const member = createSingleMember({ entries: logOfTerms([2, 2]), vote: { term: 2, votedFor: null } })
  const { term } = member.lead()
  member.receive(appendAnswer(2, term, { matchIndex: 3 }))
  t.equal(member.view().commitIndex, 0)
  member.sync()
  t.equal(member.view().commitIndex, 0)
  member.receive(appendAnswer(2, term, { matchIndex: 4 }))
  t.equal(member.view().commitIndex, 4)
})

t.test('repeated refusals and refusals during a snapshot transfer cause no further messages, as messages would multiply', async (t) => {
  const snapshot = { index: 4, term: 1, cluster, members: voters, state: createEmptyReplicatedState() }
  const member = createSingleMember({ snapshot })
  const { term } = member.lead()
  const sentAfter = (round: number, nextIndex: number) => member.receive(appendAnswer(2, term, { round, accepted: false, nextIndex })).length
  t.equal(sentAfter(1, 5), 1, 'the entry after the snapshot is sent again')
  t.equal(sentAfter(1, 5), 0, 'it is sent again only once per round')
  member.wait(75)
  t.equal(sentAfter(2, 1), 2, 'the snapshot and a heartbeat')
  member.wait(75)
  t.equal(sentAfter(3, 1), 0, 'the snapshot is in flight')
})

t.test('the leader counts its own entry only after its sync', async (t) => {
  const member = createSingleMember({ entries: logOfTerms([]) })
  const { term } = member.lead()
  member.receive(appendAnswer(2, term, { matchIndex: 2 }))
  t.equal(member.view().commitIndex, 0, 'the first entry of the term is not synced yet')
  member.sync()
  t.equal(member.view().commitIndex, 2)
})

t.test('a leader without answers from a majority for one election timeout steps down; its proposals end as unknown and its confirmations as not-leader', async (t) => {
  const member = createSingleMember({ entries: logOfTerms([]) })
  member.lead()
  member.handle({ kind: 'propose', proposal: 1, command: buildManifestCommand(0, 'a') })
  member.handle({ kind: 'confirm', confirmation: 2 })
  t.equal(member.view().role, 'leader')
  member.wait(599)
  t.equal(member.view().role, 'leader')
  const effects = member.wait(1)
  t.equal(member.view().role, 'follower')
  t.match(effects.filter((effect) => effect.kind === 'proposal-result'), [{ proposal: 1, result: { error: { kind: 'unknown' } } }])
  t.match(effects.filter((effect) => effect.kind === 'confirmation-result'), [{ confirmation: 2, result: { error: { kind: 'not-leader' } } }])
})

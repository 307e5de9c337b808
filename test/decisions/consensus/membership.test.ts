// Guards against majorities that do not overlap, which could lose committed entries or form two clusters. This happens when two membership
// changes are uncommitted at once, when a member without the log becomes a voter, or when two members form a cluster on the first start.
import t from 'tap'
import { createEmptyReplicatedState } from '../../../src/decisions/manifest/apply-command.js'
import type { MembershipChange } from '../../../src/decisions/consensus/membership.js'
import { applyMembershipChange, selectMembershipChange } from '../../../src/decisions/consensus/membership.js'
import type { ControlMember, MemberRole } from '../../../src/types/consensus-entry.js'
import type { Probe, ProbeAnswer } from '../../../src/types/consensus-message.js'
import { address, memberId } from '../../../src/types/ids.js'
import { addresses, appendAnswer, cluster, createSingleMember, headerFrom, memberIds, logOfTerms, sentMessagesOf, voters } from '../../fixtures/single-member.js'

const member = (name: string, addressText: string, role: MemberRole = 'voter'): ControlMember => ({ member: memberId(name), address: address(addressText), role })
const join = (name: string, addressText: string) => ({ member: memberId(name), address: address(addressText) })
const threeVoters = [member('a', 'A'), member('b', 'B'), member('c', 'C')]

const changeCases: { behaviour: string, members: ControlMember[], joins?: ReturnType<typeof join>[], caughtUp?: string[], silent?: string[], change: [MembershipChange['kind'], string] | null }[] = [
  { behaviour: 'nothing changes without a request', members: threeVoters, change: null },
  { behaviour: 'a new member begins as a learner, as it may lack committed entries', members: threeVoters, joins: [join('d', 'A')], caughtUp: ['d'], change: ['add-learner', 'd'] },
  { behaviour: 'a learner that lacks entries stays a learner, and the lost voter stays a voter', members: [...threeVoters, member('d', 'A', 'learner')], change: null },
  { behaviour: 'a learner that has caught up becomes a voter before the lost voter is removed', members: [...threeVoters, member('d', 'A', 'learner')], caughtUp: ['d'], change: ['add-voter', 'd'] },
  { behaviour: 'the lost voter is removed after its successor became a voter', members: [...threeVoters, member('d', 'A')], caughtUp: ['d'], change: ['remove', 'a'] },
  { behaviour: 'the removal comes before any other change', members: [...threeVoters, member('d', 'A')], joins: [join('e', 'B')], caughtUp: ['d'], change: ['remove', 'a'] },
  { behaviour: 'a learner whose folder was emptied is removed before its successor joins', members: [...threeVoters, member('d', 'A', 'learner')], joins: [join('e', 'A')], change: ['remove', 'd'] },
  { behaviour: 'an unresponsive learner is removed', members: [...threeVoters, member('d', 'A', 'learner')], silent: ['d'], change: ['remove', 'd'] },
  { behaviour: 'a lost voter stays a voter until it has a successor', members: threeVoters, silent: ['a'], change: null }
]

for (const { behaviour, members, joins = [], caughtUp = [], silent = [], change } of changeCases) {
  t.test(`membership: ${behaviour}`, async (t) => {
    const next = selectMembershipChange(members, joins, (id) => silent.includes(id) ? 'silent' : caughtUp.includes(id) ? 'caught-up' : 'behind')
    t.same(next === null ? null : [next.kind, next.member.member], change)
  })
}

t.test('a promoted learner becomes the last member of the list, which marks it as the successor at its address', async (t) => {
  const before = [...threeVoters, member('d', 'A', 'learner'), member('e', 'B', 'learner')]
  const after = applyMembershipChange(before, { kind: 'add-voter', member: member('d', 'A') })
  t.same(after.map((entry) => [entry.member, entry.role]), [['a', 'voter'], ['b', 'voter'], ['c', 'voter'], ['e', 'learner'], ['d', 'voter']])
})

const probe = (position: 2 | 3, from = `new ${position}`): Probe => ({ version: 1, kind: 'probe', from: memberId(from), fromAddress: headerFrom(position, 1).fromAddress, nonce: 1, cluster: null })

t.test('a delayed probe of a lost member does not make it a member again after its removal', async (t) => {
  const leading = createSingleMember({ entries: logOfTerms([]) })
  const { term } = leading.lead()
  const acknowledge = (matchIndex: number, ...from: string[]): void => {
    for (const id of from) leading.receive(appendAnswer(id === 'm2' ? 2 : 3, term, { matchIndex, from: memberId(id) }))
    leading.wait(25)
    leading.sync()
  }
  leading.sync()
  acknowledge(2, 'm2')
  leading.receive(probe(3, 'm3'))
  leading.receiveAndSync(probe(3))
  acknowledge(3, 'm2', 'new 3')
  acknowledge(4, 'm2', 'new 3')
  acknowledge(5, 'm2', 'new 3')
  const { log, commitIndex } = leading.view()
  t.same([log.lastIndex(), commitIndex], [5, 5])
  t.same(log.members().map((entry) => [entry.member, entry.role]), [['m1', 'voter'], ['m2', 'voter'], ['new 3', 'voter']])
})

t.test('a leader does not change the membership before its first entry and the previous change are committed, as majorities might not overlap', async (t) => {
  // The membership is in a snapshot, so the leader's first entry is the only uncommitted one.
  const leading = createSingleMember({ snapshot: { index: 1, term: 1, cluster, members: voters, state: createEmptyReplicatedState() } })
  const { term } = leading.lead()
  const lastIndexAfter = (matchIndex: number): number => {
    leading.receiveAndSync(appendAnswer(2, term, { matchIndex }))
    ;([2, 3] as const).forEach((position) => leading.receive(probe(position)))
    return leading.view().log.lastIndex()
  }
  t.equal(lastIndexAfter(1), 2, 'the first entry is not committed')
  t.equal(lastIndexAfter(2), 3, 'the first learner is added')
  t.equal(lastIndexAfter(2), 3, 'its entry is not committed')
  t.equal(lastIndexAfter(3), 4, 'the second learner is added')
})

const formationCases: { behaviour: string, answers: Partial<ProbeAnswer>[], forms: boolean }[] = [
  { behaviour: 'all members answer and are empty', answers: [{}, {}], forms: true },
  { behaviour: 'one member does not answer', answers: [{}], forms: false },
  { behaviour: 'one member belongs to a cluster', answers: [{}, { cluster }], forms: false },
  { behaviour: 'one answer belongs to an earlier probe, and its sender may belong to a cluster by now', answers: [{}, { nonce: 1 }], forms: false },
  { behaviour: 'two addresses have the same member id, as a folder was copied', answers: [{}, { from: memberIds[1] as ProbeAnswer['from'] }], forms: false },
  { behaviour: 'an answer was meant for the former folder at this address', answers: [{}, { to: memberId('former member') }], forms: false }
]

for (const { behaviour, answers, forms } of formationCases) {
  t.test(`first start: a cluster is ${forms ? '' : 'not '}formed when ${behaviour}`, async (t) => {
    const first = createSingleMember()
    const probes = sentMessagesOf(first.wait(25), 'probe')
    t.equal(probes.length, 2)
    answers.forEach((changed, position) => first.receiveAndSync({
      version: 1,
      kind: 'probe-answer',
      from: memberIds[position + 1] as ProbeAnswer['from'],
      fromAddress: addresses[position + 1] as ProbeAnswer['fromAddress'],
      to: memberId('m1'),
      nonce: probes[0]?.nonce ?? 0,
      cluster: null,
      ...changed
    }))
    t.equal(first.view().log.lastIndex(), forms ? 1 : 0)
  })
}

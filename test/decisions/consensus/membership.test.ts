import t from 'tap'
import { emptyReplicatedState } from '../../../src/decisions/manifest/apply-command.js'
import type { MembershipChange } from '../../../src/decisions/consensus/membership.js'
import { applyMembershipChange, selectMembershipChange } from '../../../src/decisions/consensus/membership.js'
import type { ControlMember, MemberRole } from '../../../src/types/consensus-entry.js'
import type { Probe, ProbeAnswer } from '../../../src/types/consensus-message.js'
import { address, memberId } from '../../../src/types/ids.js'
import { addresses, appendAnswer, cluster, createSingleMember, headerFrom, ids, logOfTerms, sentOf, voters } from '../../fixtures/single-member.js'

const member = (name: string, place: string, role: MemberRole = 'voter'): ControlMember => ({ member: memberId(name), address: address(place), role })
const join = (name: string, place: string) => ({ member: memberId(name), address: address(place) })
const whole = [member('a', 'A'), member('b', 'B'), member('c', 'C')]

const changeCases: { guards: string, members: ControlMember[], joins?: ReturnType<typeof join>[], caughtUp?: string[], silent?: string[], change: [MembershipChange['kind'], string] | null }[] = [
  { guards: 'nothing changes without a request', members: whole, change: null },
  { guards: 'a new member begins as a learner, as it may lack committed entries', members: whole, joins: [join('d', 'A')], caughtUp: ['d'], change: ['add-learner', 'd'] },
  { guards: 'a learner that lacks entries stays a learner, and the lost member keeps its place', members: [...whole, member('d', 'A', 'learner')], change: null },
  { guards: 'a learner that has caught up becomes a voter before the lost member is removed', members: [...whole, member('d', 'A', 'learner')], caughtUp: ['d'], change: ['add-voter', 'd'] },
  { guards: 'the lost member is removed after its successor became a voter', members: [...whole, member('d', 'A')], caughtUp: ['d'], change: ['remove', 'a'] },
  { guards: 'the removal comes before any other change', members: [...whole, member('d', 'A')], joins: [join('e', 'B')], caughtUp: ['d'], change: ['remove', 'a'] },
  { guards: 'a learner whose folder was emptied is removed before its successor joins', members: [...whole, member('d', 'A', 'learner')], joins: [join('e', 'A')], change: ['remove', 'd'] },
  { guards: 'a learner that is gone for good does not stay', members: [...whole, member('d', 'A', 'learner')], silent: ['d'], change: ['remove', 'd'] },
  { guards: 'a lost voter keeps its place until it has a successor', members: whole, silent: ['a'], change: null }
]

for (const { guards, members, joins = [], caughtUp = [], silent = [], change } of changeCases) {
  t.test(`membership: ${guards}`, async (t) => {
    const next = selectMembershipChange(members, joins, (id) => silent.includes(id) ? 'silent' : caughtUp.includes(id) ? 'caught-up' : 'behind')
    t.same(next === null ? null : [next.kind, next.member.member], change)
  })
}

t.test('a promoted learner comes last, so that it is known as the successor at its address', async (t) => {
  const before = [...whole, member('d', 'A', 'learner'), member('e', 'B', 'learner')]
  const after = applyMembershipChange(before, { kind: 'add-voter', member: member('d', 'A') })
  t.same(after.map((entry) => [entry.member, entry.role]), [['a', 'voter'], ['b', 'voter'], ['c', 'voter'], ['e', 'learner'], ['d', 'voter']])
})

const probe = (position: 2 | 3, from = `new ${position}`): Probe => ({ version: 1, kind: 'probe', from: memberId(from), fromAddress: headerFrom(position, 1).fromAddress, nonce: 1, cluster: null })

t.test('a member that asked for the leader before it was lost does not come back after its removal', async (t) => {
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

t.test('a leader changes no membership before its first entry and the former change are committed, as majorities might not overlap', async (t) => {
  // With the membership in a snapshot, nothing but the first entry of the leader is uncommitted.
  const leading = createSingleMember({ snapshot: { index: 1, term: 1, cluster, members: voters, state: emptyReplicatedState() } })
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

const formationCases: { guards: string, answers: Partial<ProbeAnswer>[], forms: boolean }[] = [
  { guards: 'all members answer and are empty', answers: [{}, {}], forms: true },
  { guards: 'one member does not answer', answers: [{}], forms: false },
  { guards: 'one member belongs to a cluster', answers: [{}, { cluster }], forms: false },
  { guards: 'one answer is of an earlier round, and its member may belong to a cluster by now', answers: [{}, { nonce: 1 }], forms: false },
  { guards: 'two addresses have one member id, as a folder was copied', answers: [{}, { from: ids[1] as ProbeAnswer['from'] }], forms: false },
  { guards: 'an answer was meant for the former folder at this address', answers: [{}, { to: memberId('former member') }], forms: false }
]

for (const { guards, answers, forms } of formationCases) {
  t.test(`first start: a cluster is ${forms ? '' : 'not '}formed when ${guards}`, async (t) => {
    const first = createSingleMember()
    const probes = sentOf(first.wait(25), 'probe')
    t.equal(probes.length, 2)
    answers.forEach((changed, position) => first.receiveAndSync({
      version: 1,
      kind: 'probe-answer',
      from: ids[position + 1] as ProbeAnswer['from'],
      fromAddress: addresses[position + 1] as ProbeAnswer['fromAddress'],
      to: memberId('m1'),
      nonce: probes[0]?.nonce ?? 0,
      cluster: null,
      ...changed
    }))
    t.equal(first.view().log.lastIndex(), forms ? 1 : 0)
  })
}

// Guards against lost updates: two operators or two elections on the same base must not both succeed, and a resend after a lost answer
// must neither fail nor apply twice. All members apply the same commands, so every rule must depend on the state alone.
import t from 'tap'
import { applyCommand, createEmptyReplicatedState, REMEMBERED_DIGEST_COUNT } from '../../../src/decisions/manifest/apply-command.js'
import { databaseId, groupId } from '../../../src/types/ids.js'
import type { Command, CommandAnswer, ReplicatedState } from '../../../src/types/replicated-state.js'
import { buildManifestCommand } from '../../fixtures/build-manifest-command.js'

const orders = groupId('orders')
const first = databaseId('orders-1')
const begin = (term: number): Command => ({ kind: 'begin-election', group: orders, term })
const elect = (term: number): Command => ({ kind: 'set-primary', group: orders, term, database: first })
const conflict = (currentVersion: number, winningDigest: string): CommandAnswer => ({
  kind: 'manifest-conflict', currentVersion, winningDigest, winningOperator: winningDigest === '' ? '' : `operator of ${winningDigest}`
})
const accepted = (manifestVersion: number, resent: boolean): CommandAnswer => ({ kind: 'manifest-accepted', manifestVersion, resent })
const changed = (term: number, serving: boolean): CommandAnswer => ({
  kind: 'group-changed', group: { group: orders, term, primary: serving ? first : null, phase: serving ? 'serving' : 'electing' }
})
const refused = (term: number, phase: 'serving' | 'electing', primary = first): CommandAnswer => ({
  kind: 'group-conflict', group: { group: orders, term, primary: phase === 'serving' && term > 0 ? primary : null, phase }
})

function applyAll (commands: Command[]): { state: ReplicatedState, answers: CommandAnswer[] } {
  const answers: CommandAnswer[] = []
  let state = createEmptyReplicatedState()
  for (const command of commands) {
    const applied = applyCommand(state, command)
    state = applied.state
    answers.push(applied.answer)
  }
  return { state, answers }
}

const cases: { behaviour: string, commands: Command[], answers: CommandAnswer[] }[] = [
  { behaviour: 'a commit on the current version is accepted as the next one', commands: [buildManifestCommand(0, 'a'), buildManifestCommand(1, 'b')], answers: [accepted(1, false), accepted(2, false)] },
  { behaviour: 'only the first of two commits on the same base is accepted', commands: [buildManifestCommand(0, 'a'), buildManifestCommand(0, 'b')], answers: [accepted(1, false), conflict(1, 'a')] },
  { behaviour: 'a resend after a lost answer is acknowledged with its original version, also after later versions', commands: [buildManifestCommand(0, 'a'), buildManifestCommand(1, 'b'), buildManifestCommand(0, 'a')], answers: [accepted(1, false), accepted(2, false), accepted(1, true)] },
  { behaviour: 'a conflict names the winner of the requested version, not the newest version', commands: [buildManifestCommand(0, 'a'), buildManifestCommand(1, 'b'), buildManifestCommand(0, 'c')], answers: [accepted(1, false), accepted(2, false), conflict(2, 'a')] },
  { behaviour: 'a base above the current version is refused', commands: [buildManifestCommand(0, 'a'), buildManifestCommand(5, 'b')], answers: [accepted(1, false), conflict(1, 'a')] },
  { behaviour: 'a base above 0 on an empty state is refused without a winner', commands: [buildManifestCommand(1, 'a')], answers: [conflict(0, '')] },
  { behaviour: 'the same content is accepted again on a later base, as an operator may revert a change', commands: [buildManifestCommand(0, 'a'), buildManifestCommand(1, 'b'), buildManifestCommand(2, 'a')], answers: [accepted(1, false), accepted(2, false), accepted(3, false)] },
  { behaviour: 'an unknown group starts at term 0', commands: [begin(0), begin(1)], answers: [refused(0, 'serving'), changed(1, false)] },
  { behaviour: 'an election of an old or equal term is refused, so no term has two elections', commands: [begin(3), begin(3), begin(2)], answers: [changed(3, false), refused(3, 'electing'), refused(3, 'electing')] },
  { behaviour: 'a primary is refused for any term but that of the current election', commands: [begin(3), elect(2), elect(4), elect(3)], answers: [changed(3, false), refused(3, 'electing'), refused(3, 'electing'), changed(3, true)] },
  { behaviour: 'a term gets one primary only', commands: [begin(3), elect(3), elect(3)], answers: [changed(3, false), changed(3, true), refused(3, 'serving')] },
  { behaviour: 'a primary without an election is refused', commands: [elect(0), elect(1)], answers: [refused(0, 'serving'), refused(0, 'serving')] },
  { behaviour: 'a new election removes the primary', commands: [begin(1), elect(1), begin(2)], answers: [changed(1, false), changed(1, true), changed(2, false)] }
]

for (const { behaviour, commands, answers } of cases) {
  t.test(behaviour, async (t) => {
    t.same(applyAll(commands).answers, answers)
  })
}

t.test('a resend is recognized over the last 4,096 versions, and an older one is refused and not accepted twice', async (t) => {
  const versions = REMEMBERED_DIGEST_COUNT + 1
  const { state } = applyAll(Array.from({ length: versions }, (_, base) => buildManifestCommand(base, `content ${base}`)))
  t.same(applyCommand(state, buildManifestCommand(1, 'content 1')).answer, accepted(2, true))
  t.same(applyCommand(state, buildManifestCommand(0, 'content 0')).answer, conflict(versions, `content ${versions - 1}`))
})

// Configuration changes may reach the log late, twice or out of order. Guards against an older version that replaces a newer one, and
// against an acknowledged version whose content changes later.
import fc from 'fast-check'
import t from 'tap'
import { applyCommand, createEmptyReplicatedState } from '../../../src/decisions/manifest/apply-command.js'
import { withdrawnFailureDomains } from '../../../src/decisions/failure-domains/database-weights.js'
import { failureDomainId, instanceId } from '../../../src/types/ids.js'
import type { Manifest } from '../../../src/types/manifest.js'
import type { Command, ReplicatedState } from '../../../src/types/replicated-state.js'

const manifest: Manifest = { formatVersion: 1, failureDomains: [], groups: [], workspaces: [], routes: [] }

function adopt (version: number, document: string): Command {
  return { kind: 'adopt-manifest', version, manifest, document, digest: document, operator: 'o' }
}

function applyAll (commands: readonly Command[]): ReplicatedState {
  return commands.reduce((state, command) => applyCommand(state, command).state, createEmptyReplicatedState())
}

t.test('whatever the order, the highest version is in force, with the content that was applied first under it', async (t) => {
  fc.assert(fc.property(fc.array(fc.record({ version: fc.integer({ min: 1, max: 8 }), document: fc.string({ minLength: 1 }) }), { minLength: 1 }), (changes) => {
    const state = applyAll(changes.map(({ version, document }) => adopt(version, document)))
    const highest = Math.max(...changes.map(({ version }) => version))
    return state.manifestVersion === highest && state.manifestDocument === changes.find(({ version }) => version === highest)?.document
  }), { seed: 20261204, numRuns: 200 })
  t.pass()
})

t.test('a resend, an older version and other content under the current version are acknowledged and change nothing', async (t) => {
  const state = applyAll([adopt(5, 'a')])
  for (const command of [adopt(5, 'a'), adopt(5, 'b'), adopt(4, 'c')]) {
    const applied = applyCommand(state, command)
    t.match(applied.answer, { kind: 'manifest-accepted', resent: true })
    t.equal(applied.state, state)
  }
})

t.test('a failure domain stays out until a command puts it in again, however often either command is repeated', async (t) => {
  const setFailureDomain = (out: boolean): Command => ({ kind: 'set-failure-domain', failureDomain: failureDomainId('f'), out })
  t.same([...withdrawnFailureDomains(applyAll([setFailureDomain(true), setFailureDomain(true)]))], ['f'])
  t.same([...withdrawnFailureDomains(applyAll([setFailureDomain(true), setFailureDomain(true), setFailureDomain(false)]))], [])
  t.same([...withdrawnFailureDomains(applyAll([setFailureDomain(true), adopt(1, 'a')]))], ['f'], 'a manifest does not put it in again')
})

t.test('an instance is recorded only once, and its removal is applied', async (t) => {
  const record: Command = { kind: 'record-instance', instance: instanceId('i') }
  t.same(applyAll([record, record]).instances, ['i'])
  t.same(applyAll([record, { kind: 'forget-instance', instance: instanceId('i') }]).instances, [])
})

import t from 'tap'
import { checkManifest } from '../../src/settings/check-manifest.js'

const digest = (digit: string): string => digit.repeat(64)
const valid = {
  formatVersion: 1,
  failureDomains: [{ id: 'north' }],
  groups: [{ id: 'group-1', slots: 5, connections: 30 }],
  workspaces: [{ id: 'shop', group: 'group-1', rate: 10, burst: 5, keys: [{ id: 'shop-1', digest: digest('a') }] }],
  routes: []
}

t.test('defaults are filled in', async (t) => {
  const manifest = checkManifest(valid)._unsafeUnwrap()
  t.equal(manifest.failureDomains[0]?.state, 'in')
  t.equal(manifest.workspaces[0]?.weight, 1)
})

const faults: [string, object, string][] = [
  ['an unknown field', { ...valid, colour: 'red' }, ''],
  ['a rate of zero', { ...valid, workspaces: [{ ...valid.workspaces[0], rate: 0 }] }, 'workspaces[0].rate'],
  ['a key in place of its digest', { ...valid, workspaces: [{ ...valid.workspaces[0], keys: [{ id: 'a', digest: 'secret' }] }] }, 'workspaces[0].keys[0].digest'],
  ['a group that does not exist', { ...valid, workspaces: [{ ...valid.workspaces[0], group: 'group-2' }] }, 'workspaces[0].group'],
  ['a route of an unknown workspace', { ...valid, routes: [{ name: 'r', workspace: 'other', statement: 'select 1', access: 'read' }] }, 'routes[0].workspace'],
  ['one key in two workspaces', { ...valid, workspaces: [valid.workspaces[0], { ...valid.workspaces[0], id: 'other', keys: [{ id: 'other-1', digest: digest('a') }] }] }, 'workspaces[1].keys[0].digest'],
  ['a repeated failure domain', { ...valid, failureDomains: [{ id: 'north' }, { id: 'north' }] }, 'failureDomains[1].id']
]
for (const [fault, document, path] of faults) {
  t.test(`a manifest with ${fault} is refused with its path`, async (t) => {
    const problems = checkManifest(document)._unsafeUnwrapErr()
    t.ok(problems.some((problem) => problem.path === path), JSON.stringify(problems))
  })
}

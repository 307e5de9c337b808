// Operators write manifests by hand. A key digest in two workspaces would leave open whose limits apply to its callers, and a
// reference to an unknown group would leave a workspace without databases. The check has to find such faults before a commit.
import t from 'tap'
import { checkManifest } from '../../src/settings/check-manifest.js'

const buildDigest = (digit: string): string => digit.repeat(64)
const validManifest = {
  formatVersion: 1,
  failureDomains: [{ id: 'north' }],
  groups: [{ id: 'group-1', slots: 5, connections: 30 }],
  workspaces: [{ id: 'shop', group: 'group-1', rate: 10, burst: 5, keys: [{ id: 'shop-1', digest: buildDigest('a') }] }],
  routes: []
}

t.test('checkManifest fills in the defaults', async (t) => {
  const manifest = checkManifest(validManifest)._unsafeUnwrap()
  t.equal(manifest.failureDomains[0]?.state, 'in')
  t.equal(manifest.workspaces[0]?.weight, 1)
})

const invalidManifests: [string, object, string][] = [
  ['an unknown field', { ...validManifest, colour: 'red' }, ''],
  ['a rate of zero', { ...validManifest, workspaces: [{ ...validManifest.workspaces[0], rate: 0 }] }, 'workspaces[0].rate'],
  ['a key in place of its digest', { ...validManifest, workspaces: [{ ...validManifest.workspaces[0], keys: [{ id: 'a', digest: 'secret' }] }] }, 'workspaces[0].keys[0].digest'],
  ['a group that does not exist', { ...validManifest, workspaces: [{ ...validManifest.workspaces[0], group: 'group-2' }] }, 'workspaces[0].group'],
  ['a route of an unknown workspace', { ...validManifest, routes: [{ name: 'r', workspace: 'other', statement: 'select 1', access: 'read' }] }, 'routes[0].workspace'],
  ['one key in two workspaces', { ...validManifest, workspaces: [validManifest.workspaces[0], { ...validManifest.workspaces[0], id: 'other', keys: [{ id: 'other-1', digest: buildDigest('a') }] }] }, 'workspaces[1].keys[0].digest'],
  ['a repeated failure domain', { ...validManifest, failureDomains: [{ id: 'north' }, { id: 'north' }] }, 'failureDomains[1].id']
]
for (const [description, document, path] of invalidManifests) {
  t.test(`checkManifest refuses ${description} and names its path`, async (t) => {
    const problems = checkManifest(document)._unsafeUnwrapErr()
    t.ok(problems.some((problem) => problem.path === path), JSON.stringify(problems))
  })
}

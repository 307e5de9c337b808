import t from 'tap'
import { decodeConfiguration } from '../../platform/configuration-document.js'
import { digestKey } from '../../src/utils/digest-key.js'

/** Guards against adopting a damaged or contradictory configuration, against names that messages can't carry, and against storing keys instead of their digests. */

const document = {
  version: 7,
  routes: [{ name: 'r1', database: 'lepu', path_prefix: '/', route_type: 'bounded_staleness', timeout_ms: 3000, target_latency_ms: 800, priority: 2, service: 'huvo', max_attempts: 2, max_staleness_ms: 1500, public: false }],
  services: [{ name: 'huvo', max_connections: 33, sync_replicas: 1 }],
  limits: { tx_idle_ms: 2500 },
  tenants: [{ name: 'nypu', api_keys: ['one', 'two'], priority: 1, rate_per_s: 80, burst: 90 }]
}

t.test('a configuration converts to a manifest that contains digests of keys and no keys', async (t) => {
  const { version, manifest } = decodeConfiguration(document)._unsafeUnwrap()
  t.equal(version, 7)
  t.match(manifest.endpoints, [{ name: 'lepu', group: 'huvo', consistency: 'bounded-staleness', maxStalenessMs: 1500, statementTimeoutMs: 3000, objectiveMs: 800, open: false }])
  t.match(manifest.groups, [{ id: 'huvo', connections: 33, acknowledgingReplicas: 1 }])
  t.match(manifest.workspaces, [{ id: 'nypu', rate: 80, burst: 90 }])
  t.equal(manifest.sessionLimits?.idleTransactionMs, 2500)
  t.notMatch(JSON.stringify(manifest), /"one"|"two"/)
})

t.test('unknown fields are ignored', async (t) => {
  t.ok(decodeConfiguration({ ...document, novelty: true }).isOk())
})

const [route] = document.routes
const [tenant] = document.tenants
const uncarriedNames = ['', ' ', 'a b', 'a\tb', 'a\r\nQUERY x WRITE y 0', 'a\n', 'a\0', '\ud800']
const invalidDocuments: [string, unknown][] = [
  ['no document', undefined],
  ['a list', []],
  ['no version', { ...document, version: undefined }],
  ['no routes', { ...document, routes: undefined }],
  ['a route of an unknown service', { ...document, routes: [{ ...route, service: 'none' }] }],
  ['two routes with the same database and path', { ...document, routes: [route, { ...route, name: 'r2' }] }],
  ['a time limit of 0', { ...document, routes: [{ ...route, timeout_ms: 0 }] }],
  ['an unknown route type', { ...document, routes: [{ ...route, route_type: 'other' }] }],
  ['two tenants with the same key', { ...document, tenants: [tenant, { ...tenant, name: 'other' }] }],
  ['a rate that is not a number', { ...document, tenants: [{ ...tenant, rate_per_s: '80' }] }],
  ['a route type that every object has as a property', { ...document, routes: [{ ...route, route_type: 'constructor' }] }],
  ['a tenant with the name that stands for no tenant', { ...document, tenants: [{ ...tenant, name: '-' }] }],
  ...uncarriedNames.flatMap((name): [string, unknown][] => [
    [`the tenant ${JSON.stringify(name)}`, { ...document, tenants: [{ ...tenant, name }] }],
    [`the service ${JSON.stringify(name)}`, { ...document, services: [{ ...document.services[0], name }], routes: [{ ...route, service: name }] }],
    [`the database ${JSON.stringify(name)}`, { ...document, routes: [{ ...route, database: name }] }]
  ]),
  ...['', 'a\r\nb', 'a\0', '\ud800'].map((key): [string, unknown] => [`the key ${JSON.stringify(key)}`, { ...document, tenants: [{ ...tenant, api_keys: [key] }] }])
]

for (const [name, given] of invalidDocuments) {
  t.test(`refused: ${name}`, async (t) => { t.ok(decodeConfiguration(given).isErr()) })
}

t.test('the refusal of a name says where it is and what is wrong', async (t) => {
  t.match(decodeConfiguration({ ...document, tenants: [tenant, { ...tenant, name: 'a b', api_keys: ['three'] }] })._unsafeUnwrapErr(), /^tenants\.1\.name: a name must not .*contain a blank/)
})

t.test('names of any other characters are kept as they are, also those of properties that every object has', async (t) => {
  for (const name of ['chợ-mơ', 'nypu\u010a', '😀', '__proto__', 'constructor', 'toString']) {
    const service = { ...document.services[0], name }
    const { manifest } = decodeConfiguration(JSON.parse(JSON.stringify({ ...document, services: [service], routes: [{ ...route, service: name, database: name }], tenants: [{ ...tenant, name, api_keys: [`${name} with a blank`] }] })))._unsafeUnwrap()
    t.same([manifest.endpoints?.[0]?.name, manifest.endpoints?.[0]?.group, manifest.groups[0]?.id, manifest.workspaces[0]?.id], [name, name, name, name])
    t.equal(manifest.workspaces[0]?.keys[0]?.digest, digestKey(`${name} with a blank`))
  }
})

t.test('routes that differ in their paths only, and a key that one tenant lists twice, are valid', async (t) => {
  t.ok(decodeConfiguration({ ...document, routes: [route, { ...route, path_prefix: '/x' }] }).isOk())
  t.ok(decodeConfiguration({ ...document, tenants: [{ ...tenant, api_keys: ['one', 'one'] }] }).isOk())
})

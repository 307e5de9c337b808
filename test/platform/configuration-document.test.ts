import t from 'tap'
import { decodeConfiguration } from '../../platform/configuration-document.js'

/** Guards against adopting a damaged or contradictory configuration, and against storing keys instead of their digests. */

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
  ['a rate that is not a number', { ...document, tenants: [{ ...tenant, rate_per_s: '80' }] }]
]

for (const [name, given] of invalidDocuments) {
  t.test(`refused: ${name}`, async (t) => { t.ok(decodeConfiguration(given).isErr()) })
}

t.test('routes that differ in their paths only, and a key that one tenant lists twice, are valid', async (t) => {
  t.ok(decodeConfiguration({ ...document, routes: [route, { ...route, path_prefix: '/x' }] }).isOk())
  t.ok(decodeConfiguration({ ...document, tenants: [{ ...tenant, api_keys: ['one', 'one'] }] }).isOk())
})

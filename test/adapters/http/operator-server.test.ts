import t from 'tap'
import type { Test } from 'tap'
import type { FakeLog } from '../../support/operator-fixtures.js'
import { CREDENTIAL, KEY_DIGEST, createFakeLog, createTestService, manifest, serveOperators } from '../../support/operator-fixtures.js'

/** Sends operator requests to a server with a fake log. Guards against commits by mistake and against reports of a state that is not confirmed. */

interface Answer { status: number, body: Record<string, unknown>, text: string }
type Send = (method: string, path: string, body?: unknown, authorization?: string) => Promise<Answer>

async function startServer (t: Test, log: FakeLog = createFakeLog(), manifestBytes?: number): Promise<Send> {
  const server = await serveOperators(createTestService(log), manifestBytes)
  t.teardown(() => server.close())
  return async (method, path, body, authorization = `Bearer ${CREDENTIAL}`) => {
    const response = await fetch(`http://${server.address}${path}`, {
      method,
      headers: { authorization, 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body: typeof body === 'string' ? body : JSON.stringify(body) })
    })
    const text = await response.text()
    const json = response.headers.get('content-type')?.startsWith('application/json') === true
    return { status: response.status, body: json ? JSON.parse(text) as Record<string, unknown> : {}, text }
  }
}

const refusals: [string, Parameters<Send>, number, number][] = [
  ['no credential', ['GET', '/v1/status', undefined, ''], 401, 4008],
  ['a wrong credential', ['POST', '/v1/manifest', { base: 0, manifest }, 'Bearer wrong'], 401, 4008],
  ['the digest in place of the credential', ['GET', '/v1/manifest', undefined, `Bearer ${KEY_DIGEST}`], 401, 4008],
  ['a wrong credential on an unknown path', ['GET', '/v1/other', undefined, 'Bearer wrong'], 401, 4008],
  ['an unknown path', ['GET', '/v1/other'], 404, 1004],
  ['a wrong method', ['DELETE', '/v1/manifest'], 405, 1003],
  ['an oversize manifest', ['POST', '/v1/manifest', { base: 0, manifest, pad: 'x'.repeat(70_000) }], 413, 1002],
  ['malformed JSON', ['POST', '/v1/manifest', '{\n "base": 0,\n "manifest": {,\n}'], 400, 1001],
  ['a missing base', ['POST', '/v1/manifest', { manifest }], 400, 1001],
  ['an invalid manifest', ['POST', '/v1/manifest', { base: 0, manifest: { ...manifest, groups: [] } }], 400, 4005],
  ['a base that is not in force', ['POST', '/v1/manifest', { base: 4, manifest }], 409, 4006]
]
for (const [fault, request, status, code] of refusals) {
  t.test(`${fault} is refused with code ${code}, so that nothing is committed by mistake`, async (t) => {
    const log = createFakeLog()
    const send = await startServer(t, log)
    const answer = await send(...request)
    t.equal(answer.status, status)
    t.equal(answer.body.code, code)
    t.equal(log.state().manifestVersion, 0)
  })
}

t.test('the refusal of malformed JSON names the line and does not quote the body', async (t) => {
  const send = await startServer(t)
  const { body } = await send('POST', '/v1/manifest', '{\n "base": 0,\n "secret value" }')
  t.match(body.message, /line 3/)
  t.notMatch(body.message, /secret value/)
})

t.test('a retry after a lost answer receives the original acceptance', async (t) => {
  const send = await startServer(t)
  const first = await send('POST', '/v1/manifest', { base: 0, manifest })
  const second = await send('POST', '/v1/manifest', { base: 0, manifest })
  t.equal(first.status, 200)
  t.match(first.body, { manifestVersion: 1, resent: false })
  t.match(second.body, { manifestVersion: 1, resent: true, digest: first.body.digest })
})

t.test('the second of two commits on one base receives the version, digest and operator that won', async (t) => {
  const send = await startServer(t)
  const first = await send('POST', '/v1/manifest', { base: 0, manifest })
  const second = await send('POST', '/v1/manifest', { base: 0, manifest: { ...manifest, workspaces: [] } })
  t.match(second.body, { code: 4006, outcome: 'not-run', conflict: { currentVersion: 1, winningVersion: 1, winningDigest: first.body.digest, winningOperator: 'alice' } })
})

t.test('a late commit receives the winner of its own version, not only the version now in force', async (t) => {
  const send = await startServer(t)
  const first = await send('POST', '/v1/manifest', { base: 0, manifest })
  await send('POST', '/v1/manifest', { base: 1, manifest: { ...manifest, workspaces: [] } })
  const late = await send('POST', '/v1/manifest', { base: 0, manifest: { ...manifest, workspaces: [] } })
  t.match(late.body, { code: 4006, conflict: { currentVersion: 2, winningVersion: 1, winningDigest: first.body.digest } })
})

t.test('the manifest is shown without digests of keys', async (t) => {
  const send = await startServer(t)
  await send('POST', '/v1/manifest', { base: 0, manifest })
  const { body, text } = await send('GET', '/v1/manifest')
  t.match(body, { manifestVersion: 1, committedBy: 'alice', manifest: { workspaces: [{ keys: [{ id: 'shop-1' }] }] } })
  t.notOk(text.includes(KEY_DIGEST))
})

t.test('the report page contains no scripts and loads nothing', async (t) => {
  const send = await startServer(t)
  const { status, text } = await send('GET', '/v1/reports/page')
  t.equal(status, 200)
  t.match(text, /^<!doctype html>/)
  t.notMatch(text, /<script|src=|href=/)
})

const logFaults: [string, FakeLog['fail'], number, string][] = [
  ['an instance that is not the leader', { kind: 'not-leader', leaderAddress: null }, 4004, 'not-run'],
  ['a commit whose majority did not confirm', { kind: 'unknown' }, 4007, 'unknown'],
  ['a commit that is never answered', 'silent', 4007, 'unknown']
]
for (const [fault, fail, code, outcome] of logFaults) {
  t.test(`${fault} is answered with ${code}, outcome ${outcome}, and reports show nothing as in force`, async (t) => {
    const log = createFakeLog()
    const send = await startServer(t, log)
    await send('POST', '/v1/manifest', { base: 0, manifest })
    log.fail = fail
    t.match((await send('POST', '/v1/manifest', { base: 1, manifest })).body, { code, outcome })
    const shown = await send('GET', '/v1/manifest')
    t.equal(shown.status, 503)
    for (const path of ['in-force', 'workspaces', 'failure-domains', 'burn', 'incidents']) {
      const { body } = await send('GET', `/v1/reports/${path}`)
      t.match(body.freshness, { proven: false })
      t.same([body.instances ?? [], body.workspaces ?? [], body.failureDomains ?? [], body.rows ?? [], body.manifestVersion ?? null], [[], [], [], [], null])
    }
  })
}

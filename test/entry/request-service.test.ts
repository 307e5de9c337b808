// Tests the checks that a request passes before it is dispatched.
// Without them, requests would run with a withdrawn key, after the lease has expired, or for another workspace, and keys would reach other instances.
import t from 'tap'
import { createBlackboard } from '../../src/blackboard/blackboard.js'
import { freshnessEntry, manifestEntry } from '../../src/blackboard/entry-instance-entries.js'
import type { WorkspaceLimiter } from '../../src/decisions/limits/workspace-limiter.js'
import { createRetryBudget } from '../../src/decisions/retries/retry-budget.js'
import type { DispatcherMessage } from '../../src/decisions/routing/dispatcher-message.js'
import type { RequestDispatcher } from '../../src/decisions/routing/request-dispatcher.js'
import { addSessionPosition, encodeSessionToken } from '../../src/decisions/sessions/session-token.js'
import type { FinishedCallerRequest } from '../../src/entry/request-service.js'
import { createRequestService } from '../../src/entry/request-service.js'
import type { CallerRequest } from '../../src/types/caller-request.js'
import { milliseconds } from '../../src/types/clock.js'
import { groupId, keyId, workspaceId } from '../../src/types/ids.js'
import type { LogPosition } from '../../src/types/log-position.js'
import type { Manifest } from '../../src/types/manifest.js'
import type { Success } from '../../src/types/outcome.js'
import { resultCodes } from '../../src/types/result-code.js'
import type { SessionToken } from '../../src/types/session-token.js'
import { digestKey } from '../../src/utils/digest-key.js'
import { createFakeClock } from '../support/fake-clock.js'

const KEY = 'a-very-secret-key'
const success: Success = { kind: 'success', rows: [], rowCount: 0, position: null, database: null, role: null, ageMs: null, transaction: null }

/** @param group - group of the workspace */
function manifestWith (keys: string[], group = 'group-1'): Manifest {
  return {
    formatVersion: 1,
    failureDomains: [],
    groups: ['group-1', 'group-2'].map((id) => ({ id: groupId(id), slots: 5, connections: 30 })),
    workspaces: [{ id: workspaceId('shop'), group: groupId(group), rate: 10, burst: 10, weight: 1, keys: keys.map((key, index) => ({ id: keyId(`shop-${index}`), digest: digestKey(key) })) }],
    routes: [
      { name: 'open', workspace: workspaceId('shop'), statement: 'select 1', access: 'read', open: true },
      { name: 'closed', workspace: workspaceId('shop'), statement: 'select 1', access: 'read', open: false }
    ]
  }
}

/** @param outcomes - `pending`: dispatched requests get no outcome; `waiting`: requests wait for a token of the rate */
function setUp (outcomes: 'success' | 'pending' | 'waiting' = 'success') {
  const clock = createFakeClock()
  const blackboard = createBlackboard()
  const manifest = blackboard.claim(manifestEntry, 'test')
  const freshness = blackboard.claim(freshnessEntry, 'test')
  const dispatched: DispatcherMessage[] = []
  const answers = { position: null as LogPosition | null }
  const finished: FinishedCallerRequest[] = []
  const limiter: WorkspaceLimiter = {
    handle: (message) => message.kind === 'admit' && outcomes !== 'waiting' ? [{ kind: 'admitted', requestId: message.requestId, waitedMs: 0 }] : [],
    tick: () => [],
    demand: () => [],
    nextTickAt: () => null
  }
  const dispatcher: RequestDispatcher = {
    handle: (message) => {
      dispatched.push(message)
      return message.kind === 'request' && outcomes === 'success' ? [{ kind: 'outcome', requestId: message.request.requestId, outcome: { ...success, position: answers.position } }] : []
    },
    tick: () => [],
    countActive: () => 0
  }
  const service = createRequestService({
    clock,
    blackboard,
    limiter,
    dispatcher,
    retryBudget: createRetryBudget(),
    deadlineMs: 5000,
    longestDeadlineMs: 30_000,
    sendToHolder: () => {},
    onDemandRise: () => {},
    onGroupUsed: () => {},
    onFinished: (request) => { finished.push(request) }
  })
  manifest.write({ version: 1, manifest: manifestWith([KEY]) })
  freshness.write({ confirmedAt: clock.now(), validUntil: milliseconds(clock.now() + 1500), leaderTerm: 1 })
  const serveWhole = async (change: Partial<CallerRequest> = {}) => {
    const request: CallerRequest = { key: KEY, operation: { kind: 'statement', statement: 'select 1', values: [], access: 'read' }, sessionToken: null, sessionId: null, idempotencyKey: null, nonIdempotent: false, oldestAgeMs: null, deadlineMs: null, ...change }
    return await service.serve(request, new AbortController().signal)
  }
  const serve = async (change: Partial<CallerRequest> = {}) => (await serveWhole(change)).outcome
  /** Serves a request and records the position of its write. @returns the token of the answer */
  const write = async (sessionToken: string | null, position: LogPosition): Promise<string> => {
    answers.position = position
    const { session } = await serveWhole({ sessionToken })
    answers.position = null
    if (session === null) throw new Error('the answer has no token')
    return encodeSessionToken(session)
  }
  return { clock, manifest, dispatched, finished, serve, serveWhole, write, service }
}

t.test('dispatched and finished requests contain the id of the key, but neither the key nor its digest', async (t) => {
  const { dispatched, finished, serve } = setUp()
  t.match(await serve(), { kind: 'success' })
  const text = JSON.stringify([dispatched, finished])
  t.match(dispatched, [{ kind: 'request', request: { keyId: 'shop-0', workspace: 'shop' } }])
  t.notMatch(text, KEY)
  t.notMatch(text, digestKey(KEY))
})

t.test('a key is refused as soon as a manifest without it is in force', async (t) => {
  const { manifest, serve } = setUp()
  t.match(await serve(), { kind: 'success' })
  manifest.write({ version: 2, manifest: manifestWith(['another key']) })
  t.match(await serve(), { kind: 'refusal', code: resultCodes.keyRefused.code, outcome: 'not-run' })
})

t.test('requests are refused after the freshness lease has expired', async (t) => {
  const { clock, serve, dispatched } = setUp()
  clock.advance(1500)
  t.match(await serve(), { kind: 'refusal', code: resultCodes.notFresh.code, outcome: 'not-run' })
  t.same(dispatched, [])
})

const refusals: [string, Partial<CallerRequest>, number][] = [
  ['has no key', { key: null }, resultCodes.keyMissing.code],
  ['has an unknown key', { key: 'unknown' }, resultCodes.keyRefused.code],
  ['names an unknown route', { operation: { kind: 'route', name: 'none', values: [] } }, resultCodes.unknownRoute.code],
  ['calls a route that is not open without a key', { key: null, operation: { kind: 'route', name: 'closed', values: [] } }, resultCodes.keyMissing.code],
  ['has a damaged session token', { sessionToken: 'damaged' }, resultCodes.sessionTokenInvalid.code],
  ['would change the workspace of a connection', { operation: { kind: 'statement', statement: "select set_config('catkinrelay.workspace', 'x', false)", values: [], access: 'read' } }, resultCodes.statementNotAllowed.code]
]
for (const [reason, change, code] of refusals) {
  t.test(`a request is refused as not run and not dispatched when it ${reason}`, async (t) => {
    const { serve, dispatched } = setUp()
    t.match(await serve(change), { kind: 'refusal', code, outcome: 'not-run' })
    t.same(dispatched, [])
  })
}

// A caller sends the token of its last answer with each request. It can't know to which group its workspace belongs.
t.test('a session whose workspace moved to another group is served there, and sees its own writes when the workspace moves back', async (t) => {
  const { manifest, dispatched, serve, write } = setUp()
  const first = await write(null, { term: 3, offset: 40 })
  manifest.write({ version: 2, manifest: manifestWith([KEY], 'group-2') })
  t.match(await serve({ sessionToken: first }), { kind: 'success' })
  t.match(dispatched.at(-1), { request: { group: 'group-2', required: null, primaryOnly: false } }, 'a position of another group is not required')
  const second = await write(first, { term: 1, offset: 7 })
  manifest.write({ version: 3, manifest: manifestWith([KEY]) })
  await serve({ sessionToken: second })
  t.match(dispatched.at(-1), { request: { group: 'group-1', required: { term: 3, offset: 40 } } })
  manifest.write({ version: 4, manifest: manifestWith([KEY], 'group-2') })
  await serve({ sessionToken: second })
  t.match(dispatched.at(-1), { request: { group: 'group-2', required: { term: 1, offset: 7 } } })
})

t.test('a session that has written at more groups than its token holds reads at the primary of the others', async (t) => {
  const { dispatched, serve, write } = setUp()
  const written = Array.from({ length: 20 }, (_, number) => ({ group: groupId(`former-${number}`), position: { term: 1, offset: number } }))
  const token = written.reduce<SessionToken | null>(addSessionPosition, null) as SessionToken
  await serve({ sessionToken: encodeSessionToken(token) })
  t.match(dispatched.at(-1), { request: { required: null, primaryOnly: true } })
  const next = await write(encodeSessionToken(token), { term: 2, offset: 9 })
  await serve({ sessionToken: next })
  t.match(dispatched.at(-1), { request: { required: { term: 2, offset: 9 }, primaryOnly: false } })
})

t.test('an open route runs without a key, for the workspace of the route', async (t) => {
  const { serve, dispatched } = setUp()
  t.match(await serve({ key: null, operation: { kind: 'route', name: 'open', values: [] } }), { kind: 'success' })
  t.match(dispatched, [{ request: { keyId: null, workspace: 'shop' } }])
})

t.test('a stop that has reached its time limit answers the requests that are left instead of cutting them off', async (t) => {
  const { serve, service, dispatched } = setUp('pending')
  const answered = serve()
  service.interrupt()
  t.match(await answered, { kind: 'refusal', code: resultCodes.outcomeUnknown.code, outcome: 'unknown' })
  t.same(dispatched.map(({ kind }) => kind), ['request', 'caller-lost'])
  t.match(await serve(), { kind: 'refusal', code: resultCodes.shuttingDown.code, outcome: 'not-run' })
  t.equal(service.countPending(), 0)
})

t.test('a request that waits for its rate as a stop reaches its time limit is answered as not run', async (t) => {
  const { serve, service, dispatched } = setUp('waiting')
  const answered = serve()
  service.interrupt()
  t.match(await answered, { kind: 'refusal', code: resultCodes.shuttingDown.code, outcome: 'not-run' })
  t.same(dispatched, [])
})

import { randomBytes } from 'node:crypto'
import type { Blackboard } from '../blackboard/blackboard.js'
import { freshnessEntry, manifestEntry } from '../blackboard/entry-instance-entries.js'
import type { AuthorizedRequest, ManifestIndex } from '../decisions/admission/authorize.js'
import { authorize, indexManifest } from '../decisions/admission/authorize.js'
import type { LimiterEffect, WorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import type { RetryBudget } from '../decisions/retries/retry-budget.js'
import type { DispatcherEffect, DispatcherMessage } from '../decisions/routing/dispatcher-message.js'
import type { RequestDispatcher } from '../decisions/routing/request-dispatcher.js'
import { addSessionPosition, decodeSessionToken } from '../decisions/sessions/session-token.js'
import { findStatementKind } from '../decisions/sessions/statement-kind.js'
import type { CallerAnswer, CallerRequest, ServeCaller } from '../types/caller-request.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import { addTime } from '../types/clock.js'
import type { GroupId, InstanceId, RequestId, WorkspaceId } from '../types/ids.js'
import { requestId } from '../types/ids.js'
import type { Outcome, Refusal } from '../types/outcome.js'
import type { Answer, Cancel, Execute } from '../types/peer-message.js'
import { buildRefusal } from '../types/result-code.js'
import type { SessionToken } from '../types/session-token.js'
import { digestKey } from '../utils/digest-key.js'

/** Length of the random prefix that makes request ids unique across instances and incarnations. */
const REQUEST_ID_PREFIX_BYTES = 6
/** Largest number of cached key digests. Computing a digest costs more than looking it up. */
const MAX_CACHED_DIGESTS = 10_000

/** A finished request, as metrics and service levels count it. */
export interface FinishedCallerRequest {
  workspace: WorkspaceId | null
  outcome: Outcome
  durationMs: number
  /** The limiter refused the request although, as far as this instance can know, the workspace was within its rate. */
  wrongful: boolean
  /** Time at which the limiter admitted the request; null when it did not, and for requests that are exempt from the rate. */
  admittedAt: Milliseconds | null
}

export interface RequestServiceOptions {
  clock: Clock
  blackboard: Blackboard
  limiter: WorkspaceLimiter
  dispatcher: RequestDispatcher
  retryBudget: RetryBudget
  /** Deadline of a request that does not set one, in milliseconds after its arrival. */
  deadlineMs: number
  /** Longest deadline that a request may set, in milliseconds. A longer one is shortened to it. */
  longestDeadlineMs: number
  /** Sends a message to a connection holder, which may be this instance itself. */
  sendToHolder: (to: InstanceId, message: Execute | Cancel) => void
  /** Called when the demand for the rate of a workspace exceeds the share of this instance. */
  onDemandRise: () => void
  /** Called with the group of each request that passed the checks. */
  onGroupUsed: (group: GroupId) => void
  /** Called once for each finished request, including refused ones. */
  onFinished: (finished: FinishedCallerRequest) => void
}

/** Serves the requests of callers. Each request passes the key check and the rate limit, and is then dispatched to a connection holder of its group. */
export interface RequestService {
  serve: ServeCaller
  /** Handles the answer of a connection holder. */
  handleAnswer: (from: InstanceId, answer: Answer) => void
  /** Handles the loss of the channel to a connection holder: requests sent over it get no answer. */
  handlePeerLoss: (peer: InstanceId) => void
  tick: () => void
  /** Ends a planned stop: each pending request gets its last answer, and each later one is refused. */
  interrupt: () => void
  /** @returns the number of requests without an outcome */
  countPending: () => number
}

type RequestResult = Pick<FinishedCallerRequest, 'outcome' | 'wrongful' | 'admittedAt'>

/** A request that is allowed to run. */
interface CheckedRequest {
  authorized: AuthorizedRequest
  /** Positions that the session of the request has to see; null when the request carries no token. */
  session: SessionToken | null
}

interface PendingRequest {
  /** Cancels the request and settles it: as not run unless it was dispatched. */
  interrupt: () => void
  settle: (outcome: Outcome, wrongful: boolean) => void
  startDispatch: () => void
}

/** @returns a service without requests, which refuses all requests until a manifest is in force and the freshness lease is valid */
export function createRequestService (options: RequestServiceOptions): RequestService {
  const { clock, limiter, dispatcher } = options
  const manifestReader = options.blackboard.reader(manifestEntry)
  const freshnessReader = options.blackboard.reader(freshnessEntry)
  const pending = new Map<RequestId, PendingRequest>()
  const digestsByKey = new Map<string, string>()
  const requestIdPrefix = randomBytes(REQUEST_ID_PREFIX_BYTES).toString('base64url')
  let manifestIndex: ManifestIndex | null = null
  let requestCount = 0
  let limiterTimer: NodeJS.Timeout | null = null
  let isInterrupted = false

  manifestReader.onWrite((inForce) => { manifestIndex = inForce === null ? null : indexManifest(inForce.manifest) })

  function findOrCreateDigest (key: string): string {
    const known = digestsByKey.get(key)
    if (known !== undefined) return known
    if (digestsByKey.size >= MAX_CACHED_DIGESTS) digestsByKey.clear()
    const digest = digestKey(key)
    digestsByKey.set(key, digest)
    return digest
  }

  function carryOutLimiterEffects (effects: LimiterEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'request-share') options.onDemandRise()
      if (effect.kind === 'admitted') pending.get(effect.requestId)?.startDispatch()
      if (effect.kind === 'refused') pending.get(effect.requestId)?.settle(effect.refusal, effect.wrongful)
    }
    scheduleLimiterTick()
  }

  /** Schedules a tick for the time at which the next token is available, so that a waiting request is not delayed to the next regular tick. */
  function scheduleLimiterTick (): void {
    if (limiterTimer !== null) return
    const next = limiter.nextTickAt()
    if (next === null) return
    limiterTimer = setTimeout(() => {
      limiterTimer = null
      carryOutLimiterEffects(limiter.tick())
    }, Math.max(1, next - clock.now()))
  }

  function carryOutDispatcherEffects (effects: DispatcherEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') options.sendToHolder(effect.to, effect.message)
      else pending.get(effect.requestId)?.settle(effect.outcome, false)
    }
  }

  function dispatch (message: DispatcherMessage): void {
    carryOutDispatcherEffects(dispatcher.handle(message))
  }

  function computeDeadline (request: CallerRequest): Milliseconds {
    const duration = Math.min(request.deadlineMs ?? options.deadlineMs, options.longestDeadlineMs)
    return addTime(clock.now(), duration)
  }

  /** @returns the positions that the session of a request has to see; null when the request carries no token */
  function decodeSession ({ sessionToken }: CallerRequest): SessionToken | null | Refusal {
    if (sessionToken === null) return null
    const token = decodeSessionToken(sessionToken)
    return token.isOk() ? token.value : buildRefusal('sessionTokenInvalid', 'not-run', `the session token is ${token.error}`)
  }

  /** Checks everything that needs neither limits nor a database: freshness, key, route, statement and session token. */
  function checkRequest (request: CallerRequest): Refusal | CheckedRequest {
    if (isInterrupted) return buildRefusal('shuttingDown', 'not-run', 'the instance is stopping', 0)
    if (manifestIndex === null || clock.now() >= freshnessReader.read().validUntil) return buildRefusal('notFresh', 'not-run', 'the instance can not prove that its configuration is current', 0)
    const authorized = authorize(manifestIndex, request.key === null ? null : findOrCreateDigest(request.key), request.operation)
    if (authorized.isErr()) return authorized.error
    const { operation } = authorized.value
    if ('statement' in operation && findStatementKind(operation.statement) === null) return buildRefusal('statementNotAllowed', 'not-run', 'the statement must begin with select, insert, update, delete or with, and name no function of the system')
    const session = decodeSession(request)
    if (session !== null && 'kind' in session) return session
    return { authorized: authorized.value, session }
  }

  function buildExecute (request: CallerRequest, id: RequestId, { authorized, session }: CheckedRequest, deadline: Milliseconds): Execute {
    const required = session?.positions.find(({ group }) => group === authorized.group)?.position ?? null
    return {
      version: 1,
      kind: 'execute',
      requestId: id,
      workspace: authorized.workspace,
      keyId: authorized.keyId,
      group: authorized.group,
      operation: authorized.operation,
      required,
      primaryOnly: required === null && (request.sessionId !== null || session?.isPartial === true),
      oldestAgeMs: request.oldestAgeMs,
      remainingMs: deadline - clock.now(),
      idempotencyKey: request.idempotencyKey,
      nonIdempotent: request.nonIdempotent
    }
  }

  /** A commit or rollback is exempt from the rate limit, because it frees a database connection. */
  function isExemptFromRate (authorized: AuthorizedRequest): boolean {
    return authorized.operation.kind === 'rollback' || authorized.operation.kind === 'commit'
  }

  async function runRequest (request: CallerRequest, checked: CheckedRequest, signal: AbortSignal): Promise<RequestResult> {
    const { authorized } = checked
    const id = requestId(`${requestIdPrefix}${requestCount++}`)
    const deadline = computeDeadline(request)
    const { workspace } = authorized
    return await new Promise((resolve) => {
      let isDispatched = false
      let admittedAt: Milliseconds | null = null
      const pendingRequest: PendingRequest = {
        settle: (outcome, wrongful) => {
          pending.delete(id)
          signal.removeEventListener('abort', handleAbort)
          resolve({ outcome, wrongful, admittedAt })
        },
        interrupt: () => {
          if (!isDispatched) return cancelBeforeDispatch(buildRefusal('shuttingDown', 'not-run', 'the instance is stopping', 0))
          pendingRequest.settle(buildRefusal('outcomeUnknown', 'unknown', 'the instance is stopping and does not wait for the answer of the database'), false)
          dispatch({ kind: 'caller-lost', requestId: id })
        },
        startDispatch: () => {
          isDispatched = true
          if (!isExemptFromRate(authorized)) admittedAt = clock.now()
          dispatch({ kind: 'request', request: buildExecute(request, id, checked, deadline) })
        }
      }
      function handleAbort (): void {
        if (isDispatched) dispatch({ kind: 'caller-lost', requestId: id })
        else cancelBeforeDispatch(buildRefusal('deadlineExceeded', 'not-run', 'the caller disconnected before the request was sent'))
      }

      function cancelBeforeDispatch (refusal: Refusal): void {
        carryOutLimiterEffects(limiter.handle({ kind: 'cancel', requestId: id, workspace }))
        pendingRequest.settle(refusal, false)
      }
      pending.set(id, pendingRequest)
      signal.addEventListener('abort', handleAbort)
      options.onGroupUsed(authorized.group)
      options.retryBudget.countRequest()
      if (isExemptFromRate(authorized)) pendingRequest.startDispatch()
      else carryOutLimiterEffects(limiter.handle({ kind: 'admit', requestId: id, workspace, deadline }))
    })
  }

  async function serve (request: CallerRequest, signal: AbortSignal): Promise<CallerAnswer> {
    const startedAt = clock.now()
    const checked = checkRequest(request)
    if ('code' in checked) {
      options.onFinished({ workspace: null, outcome: checked, durationMs: clock.now() - startedAt, wrongful: false, admittedAt: null })
      return { outcome: checked, session: null }
    }
    const { authorized, session } = checked
    const { outcome, wrongful, admittedAt } = await runRequest(request, checked, signal)
    options.onFinished({ workspace: authorized.workspace, outcome, durationMs: clock.now() - startedAt, wrongful, admittedAt })
    const position = outcome.kind === 'success' ? outcome.position : null
    return { outcome, session: position === null ? null : addSessionPosition(session, { group: authorized.group, position }) }
  }

  return {
    serve,
    handleAnswer: (from, answer) => { dispatch({ kind: 'answer', from, answer }) },
    handlePeerLoss: (peer) => { dispatch({ kind: 'peer-lost', instance: peer }) },
    tick: () => {
      carryOutLimiterEffects(limiter.tick())
      carryOutDispatcherEffects(dispatcher.tick())
    },
    interrupt: () => {
      isInterrupted = true
      for (const request of [...pending.values()]) request.interrupt()
    },
    countPending: () => pending.size
  }
}

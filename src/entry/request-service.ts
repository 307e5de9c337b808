import { randomBytes } from 'node:crypto'
import type { Blackboard } from '../blackboard/blackboard.js'
import { freshnessEntry, manifestEntry } from '../blackboard/entry-instance-entries.js'
import type { AuthorizedRequest, ManifestIndex } from '../decisions/admission/authorize.js'
import { authorize, indexManifest } from '../decisions/admission/authorize.js'
import type { LimiterEffect, WorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import type { RetryBudget } from '../decisions/retries/retry-budget.js'
import type { DispatcherEffect, DispatcherMessage } from '../decisions/routing/dispatcher-message.js'
import type { RequestDispatcher } from '../decisions/routing/request-dispatcher.js'
import { decodeSessionToken } from '../decisions/sessions/session-token.js'
import { findStatementKind } from '../decisions/sessions/statement-kind.js'
import type { CallerAnswer, CallerRequest, ServeCaller } from '../types/caller-request.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import { addTime } from '../types/clock.js'
import type { GroupId, InstanceId, RequestId, WorkspaceId } from '../types/ids.js'
import { requestId } from '../types/ids.js'
import type { LogPosition } from '../types/log-position.js'
import type { Outcome, Refusal } from '../types/outcome.js'
import type { Answer, Cancel, Execute } from '../types/peer-message.js'
import { refuse } from '../types/result-code.js'
import { digestKey } from '../utils/digest-key.js'

const REQUEST_NAME_BYTES = 6
/** Cached digests of keys seen; a digest costs more than the look-up. */
const MAX_CACHED_DIGESTS = 10_000

/** A finished request, for metrics and service levels. */
export interface FinishedRequest {
  workspace: WorkspaceId | null
  outcome: Outcome
  durationMs: number
  /** The limiter refused although the rate of the workspace was not used up, as far as the instance can know. */
  wrongful: boolean
  /** When the limiter gave the request its token; null when it gave none. */
  admittedAt: Milliseconds | null
}

export interface RequestServiceOptions {
  clock: Clock
  blackboard: Blackboard
  limiter: WorkspaceLimiter
  dispatcher: RequestDispatcher
  retryBudget: RetryBudget
  /** Deadline of a request that states none, in milliseconds. */
  deadlineMs: number
  /** Longest deadline that a request may state, in milliseconds. */
  longestDeadlineMs: number
  /** Hands a message to this instance's own executors or to a peer. */
  sendToHolder: (to: InstanceId, message: Execute | Cancel) => void
  /** Demand for the rate of a workspace rose. */
  onDemand: () => void
  /** A request for the group arrived here. */
  onGroupUsed: (group: GroupId) => void
  onFinished: (finished: FinishedRequest) => void
}

/** Serves callers: checks the key, applies the limits, sends the request to a holder. */
export interface RequestService {
  serve: ServeCaller
  takeAnswer: (from: InstanceId, answer: Answer) => void
  losePeer: (peer: InstanceId) => void
  tick: () => void
  /** @returns the number of requests without an outcome */
  activeCount: () => number
}

type RequestEnd = Pick<FinishedRequest, 'outcome' | 'wrongful' | 'admittedAt'>

interface Waiting {
  settle: (outcome: Outcome, wrongful: boolean) => void
  admitted: () => void
}

export function createRequestService (options: RequestServiceOptions): RequestService {
  const { clock, limiter, dispatcher } = options
  const manifestReader = options.blackboard.reader(manifestEntry)
  const freshnessReader = options.blackboard.reader(freshnessEntry)
  const waiting = new Map<RequestId, Waiting>()
  const digests = new Map<string, string>()
  const namePrefix = randomBytes(REQUEST_NAME_BYTES).toString('base64url')
  let index: ManifestIndex | null = null
  let requestNumber = 0
  let limiterTimer: NodeJS.Timeout | null = null

  manifestReader.onWrite((inForce) => { index = inForce === null ? null : indexManifest(inForce.manifest) })

  function digestOf (key: string): string {
    const known = digests.get(key)
    if (known !== undefined) return known
    if (digests.size >= MAX_CACHED_DIGESTS) digests.clear()
    const digest = digestKey(key)
    digests.set(key, digest)
    return digest
  }

  function carryOutLimiter (effects: LimiterEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'ask-for-share') options.onDemand()
      if (effect.kind === 'admitted') waiting.get(effect.requestId)?.admitted()
      if (effect.kind === 'refused') waiting.get(effect.requestId)?.settle(effect.refusal, effect.wrongful)
    }
    scheduleLimiter()
  }

  /** Waiting requests get their token when it comes, not at the next regular tick. */
  function scheduleLimiter (): void {
    if (limiterTimer !== null) return
    const next = limiter.nextTickAt()
    if (next === null) return
    limiterTimer = setTimeout(() => {
      limiterTimer = null
      carryOutLimiter(limiter.tick())
    }, Math.max(1, next - clock.now()))
  }

  function carryOutDispatcher (effects: DispatcherEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') options.sendToHolder(effect.to, effect.message)
      else waiting.get(effect.requestId)?.settle(effect.outcome, false)
    }
  }

  function dispatch (message: DispatcherMessage): void {
    carryOutDispatcher(dispatcher.handle(message))
  }

  function deadlineOf (request: CallerRequest): Milliseconds {
    const duration = Math.min(request.deadlineMs ?? options.deadlineMs, options.longestDeadlineMs)
    return addTime(clock.now(), duration)
  }

  function requiredPosition (request: CallerRequest, group: GroupId): LogPosition | null | Refusal {
    if (request.sessionToken === null) return null
    const token = decodeSessionToken(request.sessionToken)
    if (token.isErr()) return refuse('sessionTokenInvalid', 'not-run', `the session token is ${token.error}`)
    if (token.value.group !== group) return refuse('sessionTokenInvalid', 'not-run', 'the session token belongs to another group')
    return token.value.position
  }

  /** Checks that need no limits and no database. */
  function admit (request: CallerRequest): Refusal | { authorized: AuthorizedRequest, required: LogPosition | null } {
    if (index === null || clock.now() >= freshnessReader.read().validUntil) return refuse('notFresh', 'not-run', 'the instance can not prove that its configuration is current', 0)
    const authorized = authorize(index, request.key === null ? null : digestOf(request.key), request.operation)
    if (authorized.isErr()) return authorized.error
    const { operation, group } = authorized.value
    if ('statement' in operation && findStatementKind(operation.statement) === null) return refuse('statementNotAllowed', 'not-run', 'the statement must begin with select, insert, update, delete or with, and name no function of the system')
    const required = requiredPosition(request, group)
    if (required !== null && 'kind' in required) return required
    return { authorized: authorized.value, required }
  }

  function messageOf (request: CallerRequest, id: RequestId, authorized: AuthorizedRequest, required: LogPosition | null, deadline: Milliseconds): Execute {
    return {
      version: 1,
      kind: 'execute',
      requestId: id,
      workspace: authorized.workspace,
      keyId: authorized.keyId,
      group: authorized.group,
      operation: authorized.operation,
      required,
      primaryOnly: required === null && request.sessionId !== null,
      oldestAgeMs: request.oldestAgeMs,
      remainingMs: deadline - clock.now(),
      idempotencyKey: request.idempotencyKey,
      nonIdempotent: request.nonIdempotent
    }
  }

  /** The end of a transaction frees a connection and is not held back by the rate. */
  function isFree (authorized: AuthorizedRequest): boolean {
    return authorized.operation.kind === 'rollback' || authorized.operation.kind === 'commit'
  }

  async function run (request: CallerRequest, authorized: AuthorizedRequest, required: LogPosition | null, signal: AbortSignal): Promise<RequestEnd> {
    const id = requestId(`${namePrefix}${requestNumber++}`)
    const deadline = deadlineOf(request)
    const { workspace } = authorized
    return await new Promise((resolve) => {
      let dispatched = false
      let admittedAt: Milliseconds | null = null
      const entry: Waiting = {
        settle: (outcome, wrongful) => {
          waiting.delete(id)
          signal.removeEventListener('abort', abort)
          resolve({ outcome, wrongful, admittedAt })
        },
        admitted: () => {
          dispatched = true
          if (!isFree(authorized)) admittedAt = clock.now()
          dispatch({ kind: 'request', request: messageOf(request, id, authorized, required, deadline) })
        }
      }
      function abort (): void {
        if (dispatched) {
          dispatch({ kind: 'caller-lost', requestId: id })
          return
        }
        carryOutLimiter(limiter.handle({ kind: 'cancel', requestId: id, workspace }))
        entry.settle(refuse('deadlineExceeded', 'not-run', 'the caller is gone'), false)
      }
      waiting.set(id, entry)
      signal.addEventListener('abort', abort)
      options.onGroupUsed(authorized.group)
      options.retryBudget.countRequest()
      if (isFree(authorized)) entry.admitted()
      else carryOutLimiter(limiter.handle({ kind: 'admit', requestId: id, workspace, deadline }))
    })
  }

  async function serve (request: CallerRequest, signal: AbortSignal): Promise<CallerAnswer> {
    const startedAt = clock.now()
    const admitted = admit(request)
    if ('code' in admitted) {
      options.onFinished({ workspace: null, outcome: admitted, durationMs: clock.now() - startedAt, wrongful: false, admittedAt: null })
      return { outcome: admitted, group: null }
    }
    const { authorized, required } = admitted
    const { outcome, wrongful, admittedAt } = await run(request, authorized, required, signal)
    options.onFinished({ workspace: authorized.workspace, outcome, durationMs: clock.now() - startedAt, wrongful, admittedAt })
    return { outcome, group: authorized.group }
  }

  return {
    serve,
    takeAnswer: (from, answer) => { dispatch({ kind: 'answer', from, answer }) },
    losePeer: (peer) => { dispatch({ kind: 'peer-lost', instance: peer }) },
    tick: () => {
      carryOutLimiter(limiter.tick())
      carryOutDispatcher(dispatcher.tick())
    },
    activeCount: () => waiting.size
  }
}

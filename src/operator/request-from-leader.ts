import type { ControlRequest, SendToControl } from '../adapters/http/send-to-control.js'
import type { OperatorRefusal } from '../types/operator-answer.js'
import type { ReportFreshness } from '../types/operator-report.js'
import type { Address } from '../types/ids.js'
import { address as toAddress } from '../types/ids.js'
import { resultCodes } from '../types/result-code.js'

/** An election takes about a second, so three rounds at intervals of a second outlast one. */
const MAX_ROUNDS = 3
const ROUND_INTERVAL_MS = 1000

/** An attempt at one control instance, and why it brought no final answer. */
export interface Attempt {
  address: Address
  message: string
}

/**
 * - `answered`: the leader carried the request out
 * - `refused`: the leader refused the request, and a retry would not help
 * - `unproven`: an instance answered, but none with a leadership confirmation
 * - `credential-refused`: an instance refused the operator credential, and none answered as leader
 * - `unknown`: a commit was sent and not answered, so it may have been accepted
 * - `no-leader`: no instance answered as leader, and no commit can have been accepted
 */
export type ControlAnswer =
  | { kind: 'answered', body: unknown }
  | { kind: 'unproven', body: unknown, attempts: Attempt[] }
  | { kind: 'refused', refusal: OperatorRefusal }
  | { kind: 'credential-refused', attempts: Attempt[] }
  | { kind: 'unknown', attempts: Attempt[] }
  | { kind: 'no-leader', attempts: Attempt[] }

export interface LeaderRequestOptions {
  addresses: readonly Address[]
  send: SendToControl
  pause: (durationMs: number) => Promise<void>
}

/** What the attempts have shown so far. */
interface RequestProgress {
  attempts: Attempt[]
  /** Whether a commit may have been accepted although no instance confirmed it. */
  unknown: boolean
  credentialRefused: boolean
  /** Last report without a leadership confirmation; null: none. */
  unproven: unknown
}

/** Codes of refusals after which another control instance may still answer as leader. */
const RETRY_ELSEWHERE_CODES = new Set<number>([resultCodes.notLeader.code, resultCodes.notFresh.code, resultCodes.commitUnknown.code, resultCodes.internalError.code, resultCodes.operatorRefused.code])

function parseRefusal (body: unknown): OperatorRefusal | null {
  if (typeof body !== 'object' || body === null || typeof (body as OperatorRefusal).code !== 'number') return null
  return body as OperatorRefusal
}

function isUnproven (body: unknown): boolean {
  const { freshness } = (body ?? {}) as { freshness?: ReportFreshness }
  return freshness?.proven === false
}

/** Distinguishes answers of control instances from pages of a proxy or another server, which may also have the status 200. */
function isControlAnswer (body: unknown): boolean {
  return typeof body === 'object' && body !== null && ('manifestVersion' in body || 'report' in body)
}

/** Records what a refusal by one instance shows. */
function recordRefusal (progress: RequestProgress, address: Address, refusal: OperatorRefusal, request: ControlRequest): void {
  progress.attempts.push({ address, message: refusal.message })
  if (refusal.code === resultCodes.operatorRefused.code) progress.credentialRefused = true
  if (request.method === 'POST' && refusal.outcome === 'unknown') progress.unknown = true
}

/** @returns the final answer, or null and the address of the leader if the instance named it */
async function attemptInstance (options: LeaderRequestOptions, request: ControlRequest, address: Address, progress: RequestProgress): Promise<{ answer: ControlAnswer | null, hint: Address | null }> {
  const sent = await options.send(address, request)
  if (sent.isErr()) {
    progress.attempts.push({ address, message: sent.error.message })
    if (request.method === 'POST' && sent.error.maybeSent) progress.unknown = true
    return { answer: null, hint: null }
  }
  const { status, body } = sent.value
  const answered = status === 200 && isControlAnswer(body)
  if (answered && !isUnproven(body)) return { answer: { kind: 'answered', body }, hint: null }
  if (answered) {
    progress.unproven = body
    progress.attempts.push({ address, message: 'the instance could not prove its freshness' })
    const { freshness } = body as { freshness: ReportFreshness }
    return { answer: null, hint: freshness.proven ? null : freshness.leaderAddress }
  }
  const refusal = parseRefusal(body)
  if (refusal === null) {
    // Another server answered in place of the control instance. It may still have forwarded the request.
    progress.attempts.push({ address, message: `unexpected answer with HTTP status ${status}` })
    if (request.method === 'POST') progress.unknown = true
    return { answer: null, hint: null }
  }
  if (!RETRY_ELSEWHERE_CODES.has(refusal.code)) return { answer: { kind: 'refused', refusal }, hint: null }
  recordRefusal(progress, address, refusal, request)
  const hint = refusal.leaderAddress
  return { answer: null, hint: typeof hint === 'string' ? toAddress(hint) : null }
}

/** Makes one attempt at each given instance and at each leader that they name. @returns the final answer; null: none */
async function attemptRound (options: LeaderRequestOptions, request: ControlRequest, progress: RequestProgress): Promise<ControlAnswer | null> {
  const pending = [...options.addresses]
  const attempted = new Set<Address>()
  while (pending.length > 0) {
    const address = pending.shift()
    if (address === undefined || attempted.has(address)) continue
    attempted.add(address)
    const { answer, hint } = await attemptInstance(options, request, address, progress)
    if (answer !== null) return answer
    if (hint !== null) pending.unshift(hint)
  }
  return null
}

/**
 * Sends a request to the control instances in turn until one answers as leader. Retries of a commit are safe: the leader
 * repeats its original answer.
 */
export async function requestFromLeader (options: LeaderRequestOptions, request: ControlRequest): Promise<ControlAnswer> {
  const progress: RequestProgress = { attempts: [], unknown: false, credentialRefused: false, unproven: null }
  for (let round = 0; round < MAX_ROUNDS; round++) {
    if (round > 0) await options.pause(ROUND_INTERVAL_MS)
    progress.attempts = []
    const answer = await attemptRound(options, request, progress)
    if (answer !== null) return answer
    if (progress.credentialRefused) break
  }
  const { attempts } = progress
  if (progress.unknown) return { kind: 'unknown', attempts }
  if (progress.unproven !== null) return { kind: 'unproven', body: progress.unproven, attempts }
  return { kind: progress.credentialRefused ? 'credential-refused' : 'no-leader', attempts }
}

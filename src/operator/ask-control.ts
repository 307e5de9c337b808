import type { ControlRequest, SendToControl } from '../adapters/http/send-to-control.js'
import type { OperatorRefusal } from '../types/operator-answer.js'
import type { ReportFreshness } from '../types/operator-report.js'
import type { Address } from '../types/ids.js'
import { address as toAddress } from '../types/ids.js'
import { resultCodes } from '../types/result-code.js'

/** An election takes about a second, so three rounds a second apart outlast one. */
const ROUNDS = 3
const PAUSE_MS = 1000

/** Why a control instance gave no answer that counts. */
export interface Attempt {
  address: Address
  message: string
}

/**
 * - `answered`: the leader carried the request out
 * - `refused`: the leader refused the request for good
 * - `unproven`: only an instance that can't prove its freshness answered
 * - `unknown`: a commit was sent and not answered
 */
export type ControlAnswer =
  | { kind: 'answered', body: unknown }
  | { kind: 'unproven', body: unknown, attempts: Attempt[] }
  | { kind: 'refused', refusal: OperatorRefusal }
  | { kind: 'credential-refused', attempts: Attempt[] }
  | { kind: 'unknown', attempts: Attempt[] }
  | { kind: 'no-leader', attempts: Attempt[] }

export interface AskControlOptions {
  addresses: readonly Address[]
  send: SendToControl
  pause: (durationMs: number) => Promise<void>
}

interface Progress {
  attempts: Attempt[]
  unknown: boolean
  credentialRefused: boolean
  unproven: unknown
}

/** Results after which another control instance may still answer as leader. */
const TRY_ANOTHER = new Set<number>([resultCodes.notLeader.code, resultCodes.notFresh.code, resultCodes.commitUnknown.code, resultCodes.internalError.code, resultCodes.operatorRefused.code])

function asRefusal (body: unknown): OperatorRefusal | null {
  if (typeof body !== 'object' || body === null || typeof (body as OperatorRefusal).code !== 'number') return null
  return body as OperatorRefusal
}

function isUnproven (body: unknown): boolean {
  const { freshness } = (body ?? {}) as { freshness?: ReportFreshness }
  return freshness?.proven === false
}

/** A proxy or another server may answer 200 with a page of its own. */
function isControlAnswer (body: unknown): boolean {
  return typeof body === 'object' && body !== null && ('manifestVersion' in body || 'report' in body)
}

/** Keeps what a refusal by one instance tells. */
function noteRefusal (progress: Progress, address: Address, refusal: OperatorRefusal, request: ControlRequest): void {
  progress.attempts.push({ address, message: refusal.message })
  if (refusal.code === resultCodes.operatorRefused.code) progress.credentialRefused = true
  if (request.method === 'POST' && refusal.outcome === 'unknown') progress.unknown = true
}

async function tryOne (options: AskControlOptions, request: ControlRequest, address: Address, progress: Progress): Promise<{ answer: ControlAnswer | null, hint: Address | null }> {
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
  const refusal = asRefusal(body)
  if (refusal === null) {
    // Something that is not a control instance answered; it may still have passed the request on.
    progress.attempts.push({ address, message: `unexpected answer with HTTP status ${status}` })
    if (request.method === 'POST') progress.unknown = true
    return { answer: null, hint: null }
  }
  if (!TRY_ANOTHER.has(refusal.code)) return { answer: { kind: 'refused', refusal }, hint: null }
  noteRefusal(progress, address, refusal, request)
  const hint = refusal.leaderAddress
  return { answer: null, hint: typeof hint === 'string' ? toAddress(hint) : null }
}

async function tryRound (options: AskControlOptions, request: ControlRequest, progress: Progress): Promise<ControlAnswer | null> {
  const waiting = [...options.addresses]
  const tried = new Set<Address>()
  while (waiting.length > 0) {
    const address = waiting.shift()
    if (address === undefined || tried.has(address)) continue
    tried.add(address)
    const { answer, hint } = await tryOne(options, request, address, progress)
    if (answer !== null) return answer
    if (hint !== null) waiting.unshift(hint)
  }
  return null
}

/**
 * Asks the control instances in turn until one answers as leader. Repeating a commit is safe: a resend gets the
 * original answer.
 */
export async function askControl (options: AskControlOptions, request: ControlRequest): Promise<ControlAnswer> {
  const progress: Progress = { attempts: [], unknown: false, credentialRefused: false, unproven: null }
  for (let round = 0; round < ROUNDS; round++) {
    if (round > 0) await options.pause(PAUSE_MS)
    progress.attempts = []
    const answer = await tryRound(options, request, progress)
    if (answer !== null) return answer
    if (progress.credentialRefused) break
  }
  const { attempts } = progress
  if (progress.unknown) return { kind: 'unknown', attempts }
  if (progress.unproven !== null) return { kind: 'unproven', body: progress.unproven, attempts }
  return { kind: progress.credentialRefused ? 'credential-refused' : 'no-leader', attempts }
}

import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { checkManifest } from '../settings/check-manifest.js'
import type { CheckProblem } from '../settings/check-problem.js'
import type { ControlLog, ControlLogFailure } from '../types/control-log.js'
import type { ControlSummary } from '../types/control-summary.js'
import type { InstanceId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { CommitAnswer, ManifestAnswer, OperatorRefusal } from '../types/operator-answer.js'
import type { BurnReport, Incident, OperatorReport, ReportFreshness, ReportHead, ReportName } from '../types/operator-report.js'
import type { CommandAnswer, ReplicatedState } from '../types/replicated-state.js'
import { buildRefusal } from '../types/result-code.js'
import { computeContentDigest } from '../utils/compute-content-digest.js'
import { redactManifest } from '../utils/redact-manifest.js'
import { buildFailureDomainsReport } from '../reports/failure-domains-report.js'
import { buildInForceReport } from '../reports/in-force-report.js'
import { buildStatusReport } from '../reports/status-report.js'
import { buildWorkspacesReport } from '../reports/workspaces-report.js'

/** Time-out of a commit and of a leadership confirmation, in milliseconds. */
const DEFAULT_ANSWER_TIMEOUT_MS = 5000

type ConflictAnswer = Extract<CommandAnswer, { kind: 'manifest-conflict' }>

/** The part of a burn report that is computed from service levels. */
export type BurnContents = Pick<BurnReport, 'rows' | 'withoutObjectives' | 'lostIncrements'>

export interface OperatorServiceOptions {
  /** Name of this control instance. */
  instance: InstanceId
  log: ControlLog
  summary: () => ControlSummary
  /** @returns the burn of all workspaces in the manifest of the state */
  burn: (state: ReplicatedState) => BurnContents
  /** @returns incidents, newest first, and how many were dropped */
  incidents: () => { incidents: Incident[], dropped: number }
  /** Calls a function once after a time in milliseconds. @returns a function that cancels the call */
  after: (durationMs: number, callback: () => void) => () => void
  timeOfDay: () => Date
  logEvent: LogEvent
  /** Time-out for the answer of a majority, in milliseconds; default 5,000. */
  answerTimeoutMs?: number
}

/** Handles the requests of operators to a control instance. */
export interface OperatorService {
  /** Commits a manifest as the successor of version `base`. A retry with the same content has no further effect. */
  commit: (operator: string, base: number, document: unknown) => Promise<Result<CommitAnswer, OperatorRefusal>>
  manifest: () => Promise<Result<ManifestAnswer, OperatorRefusal>>
  report: (name: ReportName | 'status') => Promise<OperatorReport>
}

/** Creates the service behind the HTTP interface for operators. */
export function createOperatorService (options: OperatorServiceOptions): OperatorService {
  const { log, logEvent } = options
  const answerTimeoutMs = options.answerTimeoutMs ?? DEFAULT_ANSWER_TIMEOUT_MS

  /** Resolves as `unknown` when no majority answers within the time-out. */
  async function withTimeout<Value> (answer: Promise<Result<Value, ControlLogFailure>>): Promise<Result<Value, ControlLogFailure>> {
    return await new Promise((resolve, reject) => {
      const cancel = options.after(answerTimeoutMs, () => { resolve(err({ kind: 'unknown' })) })
      answer.then(resolve, reject).finally(cancel)
    })
  }

  function refuseNotLeader (): OperatorRefusal {
    return { ...buildRefusal('notLeader', 'not-run', 'this control instance is not the leader'), leaderAddress: log.leaderAddress() }
  }

  function refuseInvalid (problems: CheckProblem[]): OperatorRefusal {
    const message = problems.map(({ path, message }) => `${path === '' ? 'manifest' : path}: ${message}`).join('; ')
    return { ...buildRefusal('manifestInvalid', 'not-run', message), problems }
  }

  function refuseConflict (base: number, answer: ConflictAnswer): OperatorRefusal {
    const { currentVersion, winningDigest, winningOperator } = answer
    const sameDigest = log.state().acceptedDigests.filter(({ digest }) => digest === winningDigest)
    const winner = sameDigest.find(({ version }) => version === base + 1) ?? sameDigest.at(-1)
    const message = `version ${currentVersion} is in force; the commit was based on version ${base}`
    const conflict = { currentVersion, winningVersion: winner?.version ?? null, winningDigest, winningOperator }
    return { ...buildRefusal('manifestConflict', 'not-run', message), conflict }
  }

  async function propose (operator: string, base: number, document: unknown): Promise<Result<CommitAnswer, OperatorRefusal>> {
    const checked = checkManifest(document)
    if (checked.isErr()) return err(refuseInvalid(checked.error))
    const manifest = checked.value
    const digest = computeContentDigest(manifest)
    const answer = await withTimeout(log.propose({ kind: 'commit-manifest', base, manifest, digest, operator }))
    if (answer.isErr() && answer.error.kind === 'not-leader') return err(refuseNotLeader())
    if (answer.isErr()) return err(buildRefusal('commitUnknown', 'unknown', 'no majority answered; the manifest may or may not be committed'))
    const { value } = answer
    if (value.kind === 'manifest-accepted') return ok({ manifestVersion: value.manifestVersion, digest, resent: value.resent })
    if (value.kind !== 'manifest-conflict') return err(buildRefusal('internalError', 'unknown', 'the control log answered with another kind of command'))
    return err(refuseConflict(base, value))
  }

  async function commit (operator: string, base: number, document: unknown): Promise<Result<CommitAnswer, OperatorRefusal>> {
    const answer = await propose(operator, base, document)
    answer.match(
      ({ manifestVersion, resent }) => { logEvent('manifestAccepted', { operator, manifestVersion, resent }) },
      ({ code, outcome }) => { logEvent('manifestRefused', { operator, base, code, outcome }) })
    return answer
  }

  async function confirmFreshness (): Promise<ReportFreshness> {
    const confirmed = await withTimeout(log.confirmLeadership())
    if (confirmed.isOk()) return { proven: true, leaderTerm: confirmed.value }
    const reason = confirmed.error.kind === 'not-leader' ? 'not-leader' : 'no-majority'
    return { proven: false, reason, leaderAddress: log.leaderAddress() }
  }

  async function manifest (): Promise<Result<ManifestAnswer, OperatorRefusal>> {
    const freshness = await confirmFreshness()
    if (!freshness.proven && freshness.reason === 'not-leader') return err(refuseNotLeader())
    if (!freshness.proven) return err(buildRefusal('notFresh', 'not-run', 'no majority confirmed that the manifest of this instance is current'))
    const { manifestVersion, manifest, acceptedDigests } = log.state()
    const accepted = acceptedDigests.find(({ version }) => version === manifestVersion)
    return ok({
      manifestVersion,
      digest: accepted?.digest ?? (manifest === null ? null : computeContentDigest(manifest)),
      committedBy: accepted?.operator ?? null,
      manifest: manifest === null ? null : redactManifest(manifest)
    })
  }

  async function report (name: ReportName | 'status'): Promise<OperatorReport> {
    const head: ReportHead = { freshness: await confirmFreshness(), madeBy: options.instance, madeAt: options.timeOfDay().toISOString() }
    const state = log.state()
    const summary = options.summary()
    // The summary is not replicated. A summary of an earlier term says nothing about this one.
    if (head.freshness.proven && summary.leaderTerm !== head.freshness.leaderTerm) {
      head.freshness = { proven: false, reason: 'no-majority', leaderAddress: log.leaderAddress() }
    }
    if (name === 'in-force') return buildInForceReport(head, state, summary)
    if (name === 'workspaces') return buildWorkspacesReport(head, state)
    if (name === 'failure-domains') return buildFailureDomainsReport(head, state, summary)
    if (name === 'status') return buildStatusReport(head, state, summary)
    if (name === 'incidents') return { report: 'incidents', ...head, ...options.incidents() }
    const burn = head.freshness.proven ? options.burn(state) : { rows: [], withoutObjectives: [], lostIncrements: 0 }
    return { report: 'burn', ...head, ...burn }
  }

  return { commit, manifest, report }
}

import type { Metrics } from '../adapters/metrics/create-metrics.js'
import type { FinishedOperation } from '../decisions/caller-sessions/session-services.js'
import { resultCodes } from '../types/result-code.js'

/** Counts a finished operation of a session in the request metrics. */
export function observeFinishedOperation (metrics: Pick<Metrics, 'observeRequest'>, { workspace, refusal, servedBy, durationMs }: FinishedOperation): void {
  const outcome = refusal === null ? 'ran' : refusal.promise === 'nothing-kept' || refusal.promise === 'rejected' ? 'not-run' : refusal.promise
  metrics.observeRequest({ workspace, code: refusal === null ? 0 : resultCodes[refusal.result].code, outcome, servedBy, durationMs })
}

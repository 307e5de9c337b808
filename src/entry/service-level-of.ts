import type { WorkspaceId } from '../types/ids.js'
import { resultNameOf } from '../types/result-code.js'
import type { FinishedRequest as CountedRequest } from '../types/service-level.js'
import type { FinishedRequest } from './request-service.js'

/** @returns a finished request in the form that service levels count */
export function serviceLevelOf (workspace: WorkspaceId, { outcome, durationMs, wrongful }: FinishedRequest): CountedRequest {
  const isSuccess = outcome.kind === 'success'
  return {
    workspace,
    refusal: isSuccess ? null : resultNameOf(outcome.code),
    durationMs,
    ageMs: isSuccess ? outcome.ageMs : null,
    // The limiter judges its refusals; a queue fills only with requests that it admitted within the rate.
    withinRate: wrongful || isSuccess || resultNameOf(outcome.code) !== 'rateExceeded'
  }
}

import type { WorkspaceId } from '../types/ids.js'
import { resultNameOf } from '../types/result-code.js'
import type { FinishedRequest as CountedRequest } from '../types/service-level.js'
import type { FinishedCallerRequest } from './request-service.js'

/** @returns the request in the form in which the request recorder counts it for service levels */
export function buildCountedRequest (workspace: WorkspaceId, { outcome, durationMs, wrongful }: FinishedCallerRequest): CountedRequest {
  const isSuccess = outcome.kind === 'success'
  return {
    workspace,
    refusal: isSuccess ? null : resultNameOf(outcome.code),
    durationMs,
    ageMs: isSuccess ? outcome.ageMs : null,
    // Only the limiter refuses with `rateExceeded`, and it marks the refusals of workspaces within their rate as wrongful.
    // Other refusals count as within the rate; a full queue, for example, holds only requests that the limiter admitted.
    withinRate: wrongful || isSuccess || resultNameOf(outcome.code) !== 'rateExceeded'
  }
}

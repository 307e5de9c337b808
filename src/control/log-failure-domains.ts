import { withdrawnFailureDomains } from '../decisions/failure-domains/database-weights.js'
import type { LogEvent } from '../types/log-event.js'
import type { ReplicatedState } from '../types/replicated-state.js'

/** Logs each failure domain that a new manifest takes out or brings back. */
export function logFailureDomains (last: ReplicatedState, current: ReplicatedState, logEvent: LogEvent): void {
  const before = withdrawnFailureDomains(last)
  const after = withdrawnFailureDomains(current)
  for (const failureDomain of after) if (!before.has(failureDomain)) logEvent('failureDomainOut', { failureDomain })
  for (const failureDomain of before) if (!after.has(failureDomain)) logEvent('failureDomainIn', { failureDomain })
}

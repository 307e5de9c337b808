import { withdrawnFailureDomains } from '../decisions/failure-domains/database-weights.js'
import type { LogEvent } from '../types/log-event.js'
import type { ReplicatedState } from '../types/replicated-state.js'

/** Logs each failure domain that went out of service or returned to it between two states of the control log. */
export function logFailureDomainChanges (previous: ReplicatedState, current: ReplicatedState, logEvent: LogEvent): void {
  const before = withdrawnFailureDomains(previous)
  const after = withdrawnFailureDomains(current)
  for (const failureDomain of after) if (!before.has(failureDomain)) logEvent('failureDomainOut', { failureDomain })
  for (const failureDomain of before) if (!after.has(failureDomain)) logEvent('failureDomainIn', { failureDomain })
}

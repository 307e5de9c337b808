import type { Blackboard } from '../../blackboard/blackboard.js'
import { drainingEntry, freshnessEntry, manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { Clock } from '../../types/clock.js'
import type { FailureDomainId } from '../../types/ids.js'

/** Why an instance is not ready for new callers; null when it is ready. */
export type NotReadyReason = 'no-manifest' | 'not-fresh' | 'draining' | 'failure-domain-out' | null

/**
 * Creates the readiness check of an instance.
 * @param failureDomain - failure domain of the instance
 * @returns a function that returns why the instance accepts no new callers, or null when it does
 */
export function createReadiness (clock: Clock, blackboard: Blackboard, failureDomain: FailureDomainId): () => NotReadyReason {
  const draining = blackboard.reader(drainingEntry)
  const manifest = blackboard.reader(manifestEntry)
  const freshness = blackboard.reader(freshnessEntry)

  return () => {
    if (draining.read()) return 'draining'
    const inForce = manifest.read()
    if (inForce === null) return 'no-manifest'
    if (clock.now() >= freshness.read().validUntil) return 'not-fresh'
    const domain = inForce.manifest.failureDomains.find(({ id }) => id === failureDomain)
    return domain?.state === 'out' ? 'failure-domain-out' : null
  }
}

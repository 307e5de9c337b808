import type { Blackboard } from '../../blackboard/blackboard.js'
import { drainingEntry, freshnessEntry, manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { Clock } from '../../types/clock.js'
import type { FailureDomainId } from '../../types/ids.js'

/** Why an instance is not ready; null when it is. */
export type NotReadyReason = 'no-manifest' | 'not-fresh' | 'draining' | 'failure-domain-out' | null

/** @returns a function that tells why the instance of a failure domain takes no new callers */
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

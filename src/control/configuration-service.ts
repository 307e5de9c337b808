import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Clock } from '../types/clock.js'
import type { ControlLog, ControlLogFailure } from '../types/control-log.js'
import type { FailureDomainId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { Manifest } from '../types/manifest.js'
import { computeContentDigest } from '../utils/compute-content-digest.js'

export interface ConfigurationServiceOptions {
  log: ControlLog
  clock: Clock
  /** Number of voters that the log must have before the service acknowledges a change. With fewer, the tolerated loss of disks could lose the change. */
  requiredVoters: number
  /** Time after the start, in milliseconds, after which the service also acknowledges changes with fewer voters. */
  formationTimeoutMs: number
  logEvent: LogEvent
}

/** Adopts manifests that carry their own version, and takes failure domains out of service or back. */
export interface ConfigurationService {
  /** Adopts a manifest unless an equal or higher version is in force. The service acknowledges both cases. */
  adopt: (version: number, manifest: Manifest, document: string) => Promise<Result<{ resent: boolean }, ControlLogFailure>>
  /** Takes a failure domain out of service (`out`) or brings it back. */
  setFailureDomain: (failureDomain: FailureDomainId, out: boolean) => Promise<Result<void, ControlLogFailure>>
  /** Confirms the leadership by a majority. @returns the manifest document in force; null before the first one */
  read: () => Promise<Result<string | null, ControlLogFailure>>
}

/** Creates the configuration service of one control instance. */
export function createConfigurationService (options: ConfigurationServiceOptions): ConfigurationService {
  const { log, clock, logEvent } = options
  const startedAt = clock.now()

  /** Whether the service may acknowledge changes: the log has enough voters, or `formationTimeoutMs` has passed. */
  function hasEnoughVoters (): boolean {
    return log.memberAddresses().length >= options.requiredVoters || clock.now() - startedAt >= options.formationTimeoutMs
  }

  const toNotReadyFailure = (): ControlLogFailure => log.isLeader() ? { kind: 'unknown' } : { kind: 'not-leader', leaderAddress: log.leaderAddress() }

  async function adopt (version: number, manifest: Manifest, document: string): Promise<Result<{ resent: boolean }, ControlLogFailure>> {
    if (!log.isLeader() || !hasEnoughVoters()) return err(toNotReadyFailure())
    const answer = await log.propose({ kind: 'adopt-manifest', version, manifest, document, digest: computeContentDigest(manifest), operator: 'platform' })
    if (answer.isErr()) {
      logEvent('manifestRefused', { manifestVersion: version, reason: answer.error.kind })
      return err(answer.error)
    }
    const resent = answer.value.kind === 'manifest-accepted' && answer.value.resent
    logEvent('manifestAccepted', { manifestVersion: version, resent })
    return ok({ resent })
  }

  async function setFailureDomain (failureDomain: FailureDomainId, out: boolean): Promise<Result<void, ControlLogFailure>> {
    if (!log.isLeader() || !hasEnoughVoters()) return err(toNotReadyFailure())
    const answer = await log.propose({ kind: 'set-failure-domain', failureDomain, out })
    return answer.isErr() ? err(answer.error) : ok(undefined)
  }

  async function read (): Promise<Result<string | null, ControlLogFailure>> {
    const confirmed = await log.confirmLeadership()
    if (confirmed.isErr()) return err(confirmed.error)
    return ok(log.state().manifestDocument)
  }

  return { adopt, setFailureDomain, read }
}

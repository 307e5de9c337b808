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
  /** Voters that the log must have before it may acknowledge anything that must survive the tolerated losses. */
  requiredVoters: number
  /** A deployment that has fewer control instances is served all the same after this time, in milliseconds. */
  formationLimitMs: number
  logEvent: LogEvent
}

/** Manifests ordered by a version of their own, and orders for failure domains. */
export interface ConfigurationService {
  /** Adopts a manifest unless a version at least as high is in force; both are acknowledged. */
  adopt: (version: number, manifest: Manifest, document: string) => Promise<Result<{ resent: boolean }, ControlLogFailure>>
  setFailureDomain: (failureDomain: FailureDomainId, out: boolean) => Promise<Result<void, ControlLogFailure>>
  /** @returns the document in force, proven by a majority; null before the first one */
  read: () => Promise<Result<string | null, ControlLogFailure>>
}

/** Creates the service of one control instance. */
export function createConfigurationService (options: ConfigurationServiceOptions): ConfigurationService {
  const { log, clock, logEvent } = options
  const startedAt = clock.now()

  /** A change acknowledged by too small a log could be lost with the disks whose loss is to be tolerated. */
  function isComplete (): boolean {
    return log.memberAddresses().length >= options.requiredVoters || clock.now() - startedAt >= options.formationLimitMs
  }

  const notReady = (): ControlLogFailure => log.isLeader() ? { kind: 'unknown' } : { kind: 'not-leader', leaderAddress: log.leaderAddress() }

  async function adopt (version: number, manifest: Manifest, document: string): Promise<Result<{ resent: boolean }, ControlLogFailure>> {
    if (!log.isLeader() || !isComplete()) return err(notReady())
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
    if (!log.isLeader() || !isComplete()) return err(notReady())
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

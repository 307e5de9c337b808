import type { LeasedShare } from '../../blackboard/entry-instance-entries.js'
import { sharesEntry } from '../../blackboard/entry-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import { addTime, milliseconds } from '../../types/clock.js'
import type { HeartbeatAnswer } from '../../types/control-message.js'
import type { Controller } from '../../types/controller.js'
import type { ResourceId } from '../../types/ids.js'
import type { GrantedShare, HeldShare, ShareAmount, ShareDemand } from '../../types/share.js'
import type { DemandReport } from './demand-report.js'
import type { ShareHolderOptions } from './share-holder-options.js'
import { resolveShareHolderOptions } from './share-holder-options.js'
import { SHARE_LEASE_MS } from './share-lease.js'
import { createShareRequests } from './share-requests.js'

export type ShareHolderMessage =
  | { kind: 'heartbeat-answer', answer: HeartbeatAnswer }
  /** Demand may have risen. The next tick would detect it too, but later. */
  | { kind: 'demand-changed' }

/** Requests that a heartbeat is sent at once. */
export interface SendHeartbeat {
  kind: 'send-heartbeat'
}

/** The part of a heartbeat that the share holder fills in. */
export interface HeartbeatShares {
  /** Time for which this incarnation has held no share, and so has admitted nothing, in milliseconds. */
  idleMs: number
  leaderTerm: number
  held: HeldShare[]
  demand: ShareDemand[]
}

/** Holds the shares of this instance: applies grants, acknowledges reductions and reports demand. */
export interface ShareHolder extends Controller<ShareHolderMessage, SendHeartbeat> {
  /**
   * Composes the share part of a heartbeat. Leases are counted from this call, so call it before the heartbeat is sent.
   * @param sequence - number of the heartbeat, which its answer repeats
   */
  composeHeartbeat: (sequence: number) => HeartbeatShares
}

interface SentHeartbeat {
  sentAt: Milliseconds
  leaderTerm: number
}

interface ShareRecord extends ShareAmount {
  grant: number
  validUntil: Milliseconds
  returnedTokens: number
  /** Share and grant reported to the leader as held. They stay those of an earlier grant while more units are in use than the new share allows. */
  acknowledged: { grant: number, amount: number, burst: number }
}

/** @returns a share holder without shares */
export function createShareHolder (options: ShareHolderOptions): ShareHolder {
  const { clock, blackboard, buckets, demandSources, usedOf, requestGapMs, requestsPerSecond, requestBurst } = resolveShareHolderOptions(options)
  const entry = blackboard.claim(sharesEntry, 'share-holder')
  const requestPolicy = createShareRequests({ clock, requestGapMs, requestsPerSecond, requestBurst })
  // Records outlive their leases, because the grant number prevents adding the tokens of a grant twice.
  const records = new Map<ResourceId, ShareRecord>()
  const sentHeartbeats = new Map<number, SentHeartbeat>()
  let leaderTerm = 0
  /** Latest expiry of the leases so far; before the first lease, the start of this incarnation. Idle time counts from here. */
  let heldUntil = options.startedAt ?? clock.now()
  let appliedSequence = -1
  let isAcknowledgementDue = false

  function publish (): void {
    const shares = new Map<ResourceId, LeasedShare>()
    for (const [resource, { amount, burst, grant, validUntil }] of records) {
      if (validUntil > clock.now()) shares.set(resource, { resource, amount, burst, grant, validUntil })
    }
    entry.write(shares)
  }

  function collectDemands (): DemandReport[] {
    return demandSources.flatMap((source) => [...source()])
  }

  /**
   * Acknowledges the current grant once the units in use fit into it.
   * @returns whether the grant was acknowledged by this call
   */
  function acknowledge (resource: ResourceId, record: ShareRecord): boolean {
    if (record.acknowledged.grant === record.grant || usedOf(resource) > record.amount) return false
    record.acknowledged = { grant: record.grant, amount: record.amount, burst: record.burst }
    return true
  }

  function applyGrant (granted: GrantedShare, validUntil: Milliseconds): void {
    const { resource, amount, burst, grant } = granted
    const record = records.get(resource)
    if (record !== undefined && grant < record.grant) return
    if (record?.grant === grant) {
      if (validUntil <= record.validUntil) return
      buckets.extend(resource, validUntil)
      record.validUntil = validUntil
      heldUntil = milliseconds(Math.max(heldUntil, validUntil))
      return
    }
    heldUntil = milliseconds(Math.max(heldUntil, validUntil))
    const returnedTokens = buckets.resize(resource, { amount, burst }, granted.tokens, validUntil)
    const isReduced = record !== undefined && (amount < record.amount || burst < record.burst)
    const acknowledged = record?.acknowledged ?? { grant: 0, amount: 0, burst: 0 }
    const next: ShareRecord = { amount, burst, grant, validUntil, returnedTokens, acknowledged }
    records.set(resource, next)
    isAcknowledgementDue = (acknowledge(resource, next) && isReduced) || isAcknowledgementDue
  }

  /** Ends a share that the leader no longer lists. The record stays for its grant number. */
  function dropShare (resource: ResourceId, record: ShareRecord): void {
    record.validUntil = clock.now()
    buckets.remove(resource)
  }

  function applyAnswer (answer: HeartbeatAnswer): SendHeartbeat[] {
    const sent = sentHeartbeats.get(answer.sequence)
    if (sent === undefined || answer.leaderTerm < leaderTerm) return []
    if (answer.leaderTerm > leaderTerm) {
      leaderTerm = answer.leaderTerm
      // The new leader adopts the shares that a heartbeat under its own term reports. Until then, the leases continue.
      return [{ kind: 'send-heartbeat' }]
    }
    // The leader uses only reports under its own term, because a grant of a former leader can't arrive after such a report.
    if (sent.leaderTerm !== answer.leaderTerm || answer.sequence <= appliedSequence) return []
    appliedSequence = answer.sequence
    const validUntil = addTime(sent.sentAt, SHARE_LEASE_MS)
    if (validUntil <= clock.now()) return []
    const listed = new Set(answer.shares.map(({ resource }) => resource))
    for (const [resource, record] of records) {
      if (!listed.has(resource)) dropShare(resource, record)
    }
    for (const granted of answer.shares) applyGrant(granted, validUntil)
    publish()
    return tick()
  }

  function removeExpiredHeartbeats (): void {
    for (const [sequence, { sentAt }] of sentHeartbeats) {
      if (addTime(sentAt, SHARE_LEASE_MS) <= clock.now()) sentHeartbeats.delete(sequence)
    }
  }

  function composeHeartbeat (sequence: number): HeartbeatShares {
    const now = clock.now()
    removeExpiredHeartbeats()
    sentHeartbeats.set(sequence, { sentAt: now, leaderTerm })
    const held: HeldShare[] = []
    for (const [resource, record] of records) {
      if (record.validUntil <= now) continue
      acknowledge(resource, record)
      held.push({ resource, ...record.acknowledged, returnedTokens: record.returnedTokens })
    }
    isAcknowledgementDue = false
    const demands = collectDemands()
    requestPolicy.recordHeartbeat(demands)
    return { idleMs: Math.max(0, now - heldUntil), leaderTerm, held, demand: demands.filter(({ amount }) => amount > 0).map(({ resource, amount }) => ({ resource, amount })) }
  }

  function tick (): SendHeartbeat[] {
    const now = clock.now()
    let hasExpired = false
    for (const [resource, record] of records) {
      hasExpired ||= entry.read().has(resource) && record.validUntil <= now
      const isPending = record.acknowledged.grant !== record.grant && record.validUntil > now
      if (isPending && acknowledge(resource, record)) isAcknowledgementDue = true
    }
    if (hasExpired) publish()
    if (!isAcknowledgementDue) return requestShareIfDue()
    isAcknowledgementDue = false
    return [{ kind: 'send-heartbeat' }]
  }

  function requestShareIfDue (): SendHeartbeat[] {
    return requestPolicy.shouldRequest(collectDemands) ? [{ kind: 'send-heartbeat' }] : []
  }

  function handle (message: ShareHolderMessage): SendHeartbeat[] {
    if (message.kind === 'heartbeat-answer') return applyAnswer(message.answer)
    return requestShareIfDue()
  }

  return { handle, tick, composeHeartbeat }
}

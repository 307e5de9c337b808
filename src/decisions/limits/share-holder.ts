import type { LeasedShare } from '../../blackboard/entry-instance-entries.js'
import { sharesEntry } from '../../blackboard/entry-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'
import type { HeartbeatAnswer } from '../../types/control-message.js'
import type { Controller } from '../../types/controller.js'
import type { ResourceId } from '../../types/ids.js'
import type { GrantedShare, HeldShare, ShareAmount, ShareDemand } from '../../types/share.js'
import type { DemandReport } from './demand-report.js'
import type { ShareHolderOptions } from './share-holder-options.js'
import { resolveShareHolderOptions } from './share-holder-options.js'
import type { ShareLease } from './share-lease.js'
import { computeHolderLease, reduceToKeptPart, SHARE_LEASE_MS } from './share-lease.js'
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

interface ShareRecord extends ShareAmount, ShareLease {
  grant: number
  renewedAt: Milliseconds
  /** Whether the share was reduced to the kept part. */
  isReduced: boolean
  returnedTokens: number
  /** Share and grant reported to the leader as held. They stay those of an earlier grant while more units are in use than the new share allows. */
  acknowledged: { grant: number, amount: number, burst: number }
}

/** @returns a share holder without shares */
export function createShareHolder (options: ShareHolderOptions): ShareHolder {
  const { clock, blackboard, buckets, demandSources, usedOf, requestGapMs, requestsPerSecond, requestBurst, unconfirmedServiceMs } = resolveShareHolderOptions(options)
  const entry = blackboard.claim(sharesEntry, 'share-holder')
  const requestPolicy = createShareRequests({ clock, requestGapMs, requestsPerSecond, requestBurst })
  // Records outlive their leases, because the grant number prevents adding the tokens of a grant twice.
  const records = new Map<ResourceId, ShareRecord>()
  const sentHeartbeats = new Map<number, SentHeartbeat>()
  const longestLeaseMs = Math.max(SHARE_LEASE_MS, unconfirmedServiceMs)
  let leaderTerm = 0
  /** Latest expiry of the leases so far; before the first lease, the start of this incarnation. Idle time counts from here. */
  let heldUntil = options.startedAt ?? clock.now()
  let appliedSequence = -1
  let isAcknowledgementDue = false

  function publish (): void {
    const shares = new Map<ResourceId, LeasedShare>()
    for (const [resource, { amount, burst, grant, fullUntil, validUntil, renewedAt, isReduced }] of records) {
      if (validUntil > clock.now()) shares.set(resource, { resource, amount, burst, grant, validUntil, fullUntil: isReduced ? validUntil : fullUntil, renewedAt })
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

  /** Reduces the share to its kept part once the lease of the whole share has ended. The leader does the same later, by its own clock. */
  function reduceIfDue (record: ShareRecord): boolean {
    if (record.isReduced || record.validUntil <= record.fullUntil || clock.now() < record.fullUntil) return false
    reduceToKeptPart(record)
    if (record.acknowledged.grant === record.grant) reduceToKeptPart(record.acknowledged)
    record.isReduced = true
    return true
  }

  function applyGrant (granted: GrantedShare, sentAt: Milliseconds): void {
    const { resource, grant } = granted
    const lease = computeHolderLease(resource, sentAt, unconfirmedServiceMs)
    if (lease.validUntil <= clock.now()) return
    const record = records.get(resource)
    if (record !== undefined && grant < record.grant) return
    if (record !== undefined) reduceIfDue(record)
    if (record?.grant === grant && lease.validUntil <= record.validUntil) return
    heldUntil = milliseconds(Math.max(heldUntil, lease.validUntil))
    if (record?.grant === grant) renewRecord(record, granted, sentAt, lease)
    else replaceRecord(record, granted, sentAt, lease)
  }

  /** Applies the grant in force under a new lease. The leader may not have reduced the share yet, so that the amount returns to the whole share. */
  function renewRecord (record: ShareRecord, { resource, amount, burst }: GrantedShare, renewedAt: Milliseconds, lease: ShareLease): void {
    if (amount === record.amount && burst === record.burst) buckets.extend(resource, lease)
    else buckets.resize(resource, { amount, burst }, 0, lease)
    Object.assign(record, { amount, burst, renewedAt, isReduced: false, ...lease })
    if (record.acknowledged.grant === record.grant) record.acknowledged = { grant: record.grant, amount, burst }
    reduceIfDue(record)
  }

  function replaceRecord (record: ShareRecord | undefined, { resource, amount, burst, grant, tokens }: GrantedShare, renewedAt: Milliseconds, lease: ShareLease): void {
    const returnedTokens = buckets.resize(resource, { amount, burst }, tokens, lease)
    const isSmaller = record !== undefined && (amount < record.amount || burst < record.burst)
    const acknowledged = record?.acknowledged ?? { grant: 0, amount: 0, burst: 0 }
    const next: ShareRecord = { amount, burst, grant, renewedAt, isReduced: false, ...lease, returnedTokens, acknowledged }
    records.set(resource, next)
    isAcknowledgementDue = (acknowledge(resource, next) && isSmaller) || isAcknowledgementDue
    reduceIfDue(next)
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
    const listed = new Set(answer.shares.map(({ resource }) => resource))
    for (const [resource, record] of records) {
      if (!listed.has(resource)) dropShare(resource, record)
    }
    for (const granted of answer.shares) applyGrant(granted, sent.sentAt)
    publish()
    return tick()
  }

  function removeExpiredHeartbeats (): void {
    for (const [sequence, { sentAt }] of sentHeartbeats) {
      if (clock.now() - sentAt >= longestLeaseMs) sentHeartbeats.delete(sequence)
    }
  }

  function composeHeartbeat (sequence: number): HeartbeatShares {
    const now = clock.now()
    removeExpiredHeartbeats()
    sentHeartbeats.set(sequence, { sentAt: now, leaderTerm })
    const held: HeldShare[] = []
    for (const [resource, record] of records) {
      if (record.validUntil <= now) continue
      reduceIfDue(record)
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
    let hasEnded = false
    for (const [resource, record] of records) {
      const isExpired = entry.read().has(resource) && record.validUntil <= now
      hasEnded = isExpired || reduceIfDue(record) || hasEnded
      const isPending = record.acknowledged.grant !== record.grant && record.validUntil > now
      if (isPending && acknowledge(resource, record)) isAcknowledgementDue = true
    }
    if (hasEnded) publish()
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

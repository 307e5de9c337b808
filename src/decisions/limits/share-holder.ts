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
import { shareLeaseMs } from './share-lease.js'
import { createShareRequests } from './share-requests.js'

export type ShareHolderMessage =
  | { kind: 'heartbeat-answer', answer: HeartbeatAnswer }
  /** Demand may have risen; the tick would find it too, but later. */
  | { kind: 'demand-changed' }

/** A heartbeat should be sent at once. */
export interface SendHeartbeat {
  kind: 'send-heartbeat'
}

/** The part of a heartbeat that the share holder fills in. */
export interface HeartbeatShares {
  /** Time in which this run has held no share and so admitted nothing, in milliseconds. */
  idleMs: number
  leaderTerm: number
  held: HeldShare[]
  demand: ShareDemand[]
}

/** Holds the shares of this instance. */
export interface ShareHolder extends Controller<ShareHolderMessage, SendHeartbeat> {
  /** Makes the share part of a heartbeat. Leases are counted from this call, so it must not come after the sending. */
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
  /** Share and grant that the leader may count as given up; trails behind while more is in use. */
  acknowledged: { grant: number, amount: number, burst: number }
}

/** @returns a share holder that holds nothing */
export function createShareHolder (options: ShareHolderOptions): ShareHolder {
  const { clock, blackboard, buckets, demandSources, usedOf, askGapMs, asksPerSecond, askBurst } = resolveShareHolderOptions(options)
  const entry = blackboard.claim(sharesEntry, 'share-holder')
  const requests = createShareRequests({ clock, askGapMs, asksPerSecond, askBurst })
  // Records outlive their leases: the grant number keeps the tokens of a grant from being added twice.
  const records = new Map<ResourceId, ShareRecord>()
  const sentHeartbeats = new Map<number, SentHeartbeat>()
  let leaderTerm = 0
  let heldUntil = options.startedAt ?? clock.now()
  let appliedSequence = -1
  let acknowledgementDue = false

  function publish (): void {
    const shares = new Map<ResourceId, LeasedShare>()
    for (const [resource, { amount, burst, grant, validUntil }] of records) {
      if (validUntil > clock.now()) shares.set(resource, { resource, amount, burst, grant, validUntil })
    }
    entry.write(shares)
  }

  function readDemands (): DemandReport[] {
    return demandSources.flatMap((source) => [...source()])
  }

  /** Acknowledges a reduction once the use fits into it. */
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
    const reduced = record !== undefined && (amount < record.amount || burst < record.burst)
    const acknowledged = record?.acknowledged ?? { grant: 0, amount: 0, burst: 0 }
    const next: ShareRecord = { amount, burst, grant, validUntil, returnedTokens, acknowledged }
    records.set(resource, next)
    acknowledgementDue = (acknowledge(resource, next) && reduced) || acknowledgementDue
  }

  /** A share that the leader no longer lists is given up; the record stays for its grant number. */
  function giveUp (resource: ResourceId, record: ShareRecord): void {
    record.validUntil = clock.now()
    buckets.remove(resource)
  }

  function applyAnswer (answer: HeartbeatAnswer): SendHeartbeat[] {
    const sent = sentHeartbeats.get(answer.sequence)
    if (sent === undefined || answer.leaderTerm < leaderTerm) return []
    if (answer.leaderTerm > leaderTerm) {
      leaderTerm = answer.leaderTerm
      // The new leader adopts what a heartbeat under its own term reports; until then the lease goes on.
      return [{ kind: 'send-heartbeat' }]
    }
    // The leader counts only reports under its own term, so that nothing of an earlier leader can arrive after them.
    if (sent.leaderTerm !== answer.leaderTerm || answer.sequence <= appliedSequence) return []
    appliedSequence = answer.sequence
    const validUntil = addTime(sent.sentAt, shareLeaseMs)
    if (validUntil <= clock.now()) return []
    const listed = new Set(answer.shares.map(({ resource }) => resource))
    for (const [resource, record] of records) {
      if (!listed.has(resource)) giveUp(resource, record)
    }
    for (const granted of answer.shares) applyGrant(granted, validUntil)
    publish()
    return tick()
  }

  function forgetOldHeartbeats (): void {
    for (const [sequence, { sentAt }] of sentHeartbeats) {
      if (addTime(sentAt, shareLeaseMs) <= clock.now()) sentHeartbeats.delete(sequence)
    }
  }

  function composeHeartbeat (sequence: number): HeartbeatShares {
    const now = clock.now()
    forgetOldHeartbeats()
    sentHeartbeats.set(sequence, { sentAt: now, leaderTerm })
    const held: HeldShare[] = []
    for (const [resource, record] of records) {
      if (record.validUntil <= now) continue
      acknowledge(resource, record)
      held.push({ resource, ...record.acknowledged, returnedTokens: record.returnedTokens })
    }
    acknowledgementDue = false
    const demands = readDemands()
    requests.noteSent(demands)
    return { idleMs: Math.max(0, now - heldUntil), leaderTerm, held, demand: demands.filter(({ amount }) => amount > 0).map(({ resource, amount }) => ({ resource, amount })) }
  }

  function tick (): SendHeartbeat[] {
    const now = clock.now()
    let lapsed = false
    for (const [resource, record] of records) {
      lapsed ||= entry.read().has(resource) && record.validUntil <= now
      const waiting = record.acknowledged.grant !== record.grant && record.validUntil > now
      if (waiting && acknowledge(resource, record)) acknowledgementDue = true
    }
    if (lapsed) publish()
    if (!acknowledgementDue) return askIfDue()
    acknowledgementDue = false
    return [{ kind: 'send-heartbeat' }]
  }

  function askIfDue (): SendHeartbeat[] {
    return requests.shouldAsk(readDemands) ? [{ kind: 'send-heartbeat' }] : []
  }

  function handle (message: ShareHolderMessage): SendHeartbeat[] {
    if (message.kind === 'heartbeat-answer') return applyAnswer(message.answer)
    return askIfDue()
  }

  return { handle, tick, composeHeartbeat }
}

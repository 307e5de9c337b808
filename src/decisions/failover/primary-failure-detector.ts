import type { HolderObservation, RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { InstanceId } from '../../types/ids.js'
import { memberOf } from './group-view.js'
import type { GroupView } from './group-view.js'

export interface DetectorOptions {
  primarySilentMs: number
  holderCutOffMs: number
}

/** Times that bound what a missing observation means. */
export interface DetectorHistory {
  /** Since when this leader sees the primary serve under its term. */
  servingSince: Milliseconds
  /** Since when an instance is a holder; absent: not yet published. */
  holderSince: ReadonlyMap<InstanceId, Milliseconds>
}

/**
 * Tells whether the primary of a group must be replaced: a majority of the holders had no proof of it for `primarySilentMs`, and
 * neither was there one in an announcement. A proof is a status in which the database is primary of the term in force.
 * Slow answers are proofs too. Holders without recent heartbeats are cut off themselves and do not count.
 */
export function isPrimaryLost (view: GroupView, history: DetectorHistory, options: DetectorOptions): boolean {
  const knownSince = Math.max(history.servingSince, view.leadership.since)
  if (view.now - knownSince < options.primarySilentMs) return false
  if (view.now - announcedProofAt(view) < options.primarySilentMs) return false
  const counted = countedHolders(view, options.holderCutOffMs)
  const silent = counted.filter((holder) => silentFor(view, holder, history) >= options.primarySilentMs)
  return silent.length * 2 > counted.length
}

/** @returns when the primary last proved that it serves, as far as this leader knows; null if never */
export function lastProofOfPrimary (view: GroupView): Milliseconds | null {
  const seen = countedHolders(view, Infinity).map((holder) => observationOf(view, holder))
    .filter((observation) => isProof(view, observation?.status))
    .map((observation) => (observation as HolderObservation).arrivedAt - (observation as HolderObservation).silentForMs)
  const last = Math.max(announcedProofAt(view), ...seen)
  return last === -Infinity ? null : last as Milliseconds
}

function announcedProofAt (view: GroupView): number {
  const registered = memberOf(view, view.replicated.primary)?.registered
  return registered !== undefined && isProof(view, registered.announcement.status) ? registered.announcedAt : -Infinity
}

function countedHolders (view: GroupView, cutOffMs: number): RegisteredInstance[] {
  const known = view.holders.map((holder) => view.instances.get(holder)).filter((holder) => holder !== undefined)
  return known.filter((holder) => view.now - holder.lastHeartbeatAt <= cutOffMs)
}

function observationOf (view: GroupView, holder: RegisteredInstance): HolderObservation | undefined {
  return view.replicated.primary === null ? undefined : holder.observations.get(view.replicated.primary)
}

function silentFor (view: GroupView, holder: RegisteredInstance, history: DetectorHistory): number {
  const observation = observationOf(view, holder)
  if (observation !== undefined && isProof(view, observation.status)) return observation.silentForMs
  // Without any proof the silence began when the holder was named or the term came into force.
  const since = Math.max(history.servingSince, history.holderSince.get(holder.instance) ?? holder.lastHeartbeatAt)
  return holder.lastHeartbeatAt - since
}

function isProof (view: GroupView, status: DatabaseStatus | null | undefined): boolean {
  if (status === null || status === undefined) return false
  return status.role === 'primary' && status.term === view.replicated.term && status.fencedTerm <= view.replicated.term
}

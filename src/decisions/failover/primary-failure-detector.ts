import type { ConnectionHolderObservation, RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { InstanceId } from '../../types/ids.js'
import { findMember } from './group-view.js'
import type { GroupView } from './group-view.js'

export interface DetectorOptions {
  primarySilentMs: number
  maxHeartbeatAgeMs: number
}

/** Since when evidence of the primary can be expected. */
export interface DetectorHistory {
  /** Since when this leader has seen the primary serve under its term. */
  servingSince: Milliseconds
  /** Since when each connection holder is named in a published directory; absent if it is in none yet. */
  holderSince: ReadonlyMap<InstanceId, Milliseconds>
}

/**
 * Decides whether the primary of a group must be replaced. It is lost when a majority of the connection holders has had no evidence of
 * it for `primarySilentMs`, and no announcement was evidence within that time. Evidence is a status that shows the database as primary
 * of the current term and not fenced for a higher one, however slowly the database answered. Holders without a recent heartbeat may be
 * cut off themselves and don't count.
 */
export function isPrimaryLost (view: GroupView, history: DetectorHistory, options: DetectorOptions): boolean {
  const knownSince = Math.max(history.servingSince, view.leadership.since)
  if (view.now - knownSince < options.primarySilentMs) return false
  if (view.now - announcedEvidenceAt(view) < options.primarySilentMs) return false
  const reportingHolders = selectReportingHolders(view, options.maxHeartbeatAgeMs)
  const silentHolders = reportingHolders.filter((holder) => computeSilenceMs(view, holder, history) >= options.primarySilentMs)
  return silentHolders.length * 2 > reportingHolders.length
}

/** @returns when the leader or a connection holder last saw evidence of the primary, as far as this leader knows; null if never */
export function findLastPrimaryEvidence (view: GroupView): Milliseconds | null {
  const observedAt = selectReportingHolders(view, Infinity).map((holder) => findPrimaryObservation(view, holder))
    .filter((observation) => isPrimaryEvidence(view, observation?.status))
    .map((observation) => (observation as ConnectionHolderObservation).arrivedAt - (observation as ConnectionHolderObservation).silentForMs)
  const last = Math.max(announcedEvidenceAt(view), ...observedAt)
  return last === -Infinity ? null : last as Milliseconds
}

function announcedEvidenceAt (view: GroupView): number {
  const registered = findMember(view, view.replicated.primary)?.registered
  return registered !== undefined && isPrimaryEvidence(view, registered.announcement.status) ? registered.announcedAt : -Infinity
}

function selectReportingHolders (view: GroupView, maxAgeMs: number): RegisteredInstance[] {
  const known = view.holders.map((holder) => view.instances.get(holder)).filter((holder) => holder !== undefined)
  return known.filter((holder) => view.now - holder.lastHeartbeatAt <= maxAgeMs)
}

function findPrimaryObservation (view: GroupView, holder: RegisteredInstance): ConnectionHolderObservation | undefined {
  return view.replicated.primary === null ? undefined : holder.observations.get(view.replicated.primary)
}

/** @returns how long a holder had no evidence of the primary when it sent its last heartbeat, in ms */
function computeSilenceMs (view: GroupView, holder: RegisteredInstance, history: DetectorHistory): number {
  const observation = findPrimaryObservation(view, holder)
  if (observation !== undefined && isPrimaryEvidence(view, observation.status)) return observation.silentForMs
  // Without any evidence, the silence began when the holder was named or the term came into service, whichever was later.
  const since = Math.max(history.servingSince, history.holderSince.get(holder.instance) ?? holder.lastHeartbeatAt)
  return holder.lastHeartbeatAt - since
}

function isPrimaryEvidence (view: GroupView, status: DatabaseStatus | null | undefined): boolean {
  if (status === null || status === undefined) return false
  return status.role === 'primary' && status.term === view.replicated.term && status.fencedTerm <= view.replicated.term
}

import type { RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { DatabaseId } from '../../types/ids.js'
import { findMember } from '../failover/group-view.js'
import type { GroupView } from '../failover/group-view.js'
import type { PromotionTimes } from './promotion-options.js'

/** Reports of an instance count until its last heartbeat is this old. Three heartbeat intervals, because single heartbeats get lost. */
const MAX_REPORT_AGE_MS = 1500

/** Number of instances that must report silence, because a single one may be cut off itself. If only one is registered, its report suffices. */
const MIN_SILENT_REPORTS = 2

/**
 * - `alive`: instances or announcements show that the primary answers
 * - `doubtful`: reports and announcements are too few or contradict each other; a status query is needed
 * - `cut-off`: the primary announces itself, but most instances that use it have had no answer for twice `primarySilentMs`
 * - `lost`: most instances that use the primary get no answer, and it has not announced itself since
 */
export type PrimaryEvidence = 'alive' | 'doubtful' | 'cut-off' | 'lost'

/** Assesses a primary by the reports of instances and by its own announcements. */
export function assessPrimary (view: GroupView, times: PromotionTimes): PrimaryEvidence {
  const { primary } = view.replicated
  const member = findMember(view, primary)
  if (primary === null) return 'lost'
  const announcedMsAgo = member === undefined ? Infinity : view.now - member.registered.announcedAt
  const reportedSilences = [...view.instances.values()].map((instance) => computeSilenceMs(view, instance, primary, times)).filter((silence) => silence !== null)
  const longSilences = reportedSilences.filter((silence) => silence >= times.primarySilentMs).sort((left, right) => left - right)
  const hasEnoughReports = longSilences.length >= Math.min(MIN_SILENT_REPORTS, view.instances.size)
  const isMajoritySilent = hasEnoughReports && longSilences.length > 0 && longSilences.length * 2 > reportedSilences.length
  if (isMajoritySilent) {
    // The shortest of the long silences. An announcement within that time is evidence against a crash.
    const shortestSilenceMs = longSilences[0] ?? 0
    if (announcedMsAgo >= shortestSilenceMs) return 'lost'
    return shortestSilenceMs >= times.primarySilentMs * 2 ? 'cut-off' : 'doubtful'
  }
  if (reportedSilences.length > longSilences.length) return 'alive'
  return announcedMsAgo <= times.announcementMs * 2 ? 'alive' : 'doubtful'
}

/**
 * Computes how long an instance has had no answer of the database while it was in contact with this leader. Silence from before that
 * shows only that the instance itself was cut off.
 * @returns the time in ms; 0 while the instance gets answers; null without a recent report, and while its contact is too short to tell
 */
function computeSilenceMs (view: GroupView, instance: RegisteredInstance, database: DatabaseId, times: PromotionTimes): number | null {
  const observation = instance.observations.get(database)
  if (observation === undefined || view.now - instance.lastHeartbeatAt > MAX_REPORT_AGE_MS) return null
  if (observation.silentForMs === 0) return 0
  const silenceMs = observation.silentForMs + (view.now - observation.arrivedAt)
  const contactMs = view.now - instance.inContactSince
  if (silenceMs <= contactMs) return silenceMs
  return contactMs < times.primarySilentMs ? null : contactMs
}

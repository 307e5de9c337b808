import type { RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { DatabaseId } from '../../types/ids.js'
import { findMember } from '../failover/group-view.js'
import type { GroupView } from '../failover/group-view.js'
import type { PromotionTimes } from './promotion-options.js'

/** Heartbeats may miss, so an instance counts while it is not older than this many milliseconds: three heartbeat intervals. */
const MAX_REPORT_AGE_MS = 1500

/** Where few instances use a database, one that is cut off itself might be the only one to report. */
const MIN_SILENT_REPORTS = 2

/**
 * - `alive`: instances or announcements prove that the primary answers
 * - `doubtful`: nothing proves it; a status query tells more
 * - `cut-off`: it announces itself, but most instances that use it get no answer
 * - `lost`: most instances that use it get no answer, and it has not announced itself since
 */
export type PrimaryEvidence = 'alive' | 'doubtful' | 'cut-off' | 'lost'

/** Judges a primary from what instances and the database itself reported. */
export function assessPrimary (view: GroupView, times: PromotionTimes): PrimaryEvidence {
  const { primary } = view.replicated
  const member = findMember(view, primary)
  if (primary === null) return 'lost'
  const announcedMsAgo = member === undefined ? Infinity : view.now - member.registered.announcedAt
  const reportedSilences = [...view.instances.values()].map((instance) => computeSilenceMs(view, instance, primary)).filter((silence) => silence !== null)
  const longSilences = reportedSilences.filter((silence) => silence >= times.primarySilentMs).sort((left, right) => left - right)
  const hasEnoughReports = longSilences.length >= Math.min(MIN_SILENT_REPORTS, view.instances.size)
  const isMajoritySilent = hasEnoughReports && longSilences.length > 0 && longSilences.length * 2 > reportedSilences.length
  if (isMajoritySilent) {
    // The shortest of the silences that make the majority: an announcement since then speaks against a crash.
    const shortestSilenceMs = longSilences[0] ?? 0
    if (announcedMsAgo >= shortestSilenceMs) return 'lost'
    return shortestSilenceMs >= times.primarySilentMs * 2 ? 'cut-off' : 'doubtful'
  }
  if (reportedSilences.length > longSilences.length) return 'alive'
  return announcedMsAgo <= times.announcementMs * 2 ? 'alive' : 'doubtful'
}

/** @returns how long an instance has had no answer, 0 while it gets answers, or null when it tells nothing */
function computeSilenceMs (view: GroupView, instance: RegisteredInstance, database: DatabaseId): number | null {
  const observation = instance.observations.get(database)
  if (observation === undefined || view.now - instance.lastHeartbeatAt > MAX_REPORT_AGE_MS) return null
  return observation.silentForMs === 0 ? 0 : observation.silentForMs + (view.now - observation.arrivedAt)
}

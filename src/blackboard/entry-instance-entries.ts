import type { DatabaseStatus } from '../types/database-status.js'
import type { Directory } from '../types/directory.js'
import type { DatabaseId, ResourceId } from '../types/ids.js'
import type { Manifest } from '../types/manifest.js'
import type { Milliseconds } from '../types/clock.js'
import { milliseconds } from '../types/clock.js'
import type { ShareAmount } from '../types/share.js'
import type { StopStage } from '../types/stop-stage.js'
import { defineEntry } from './blackboard.js'

/** The manifest in force at this instance. */
export interface ManifestInForce {
  version: number
  manifest: Manifest
}

export interface FreshnessLease {
  /** Latest time at which a majority is known to have followed the leader: send time of the answered heartbeat, less the age of the leadership confirmation. */
  confirmedAt: Milliseconds
  /** End of the lease, exclusive. */
  validUntil: Milliseconds
  leaderTerm: number
}

/** A share that this instance may use before `validUntil`. */
export interface LeasedShare extends ShareAmount {
  resource: ResourceId
  grant: number
  validUntil: Milliseconds
  /** When the share is reduced to its kept part; `validUntil` where it is not reduced any more before its end. */
  fullUntil: Milliseconds
  /** When the heartbeat was sent whose answer last renewed the share. */
  renewedAt: Milliseconds
}

/** A database as this connection holder observes it over its status connection. */
export interface ObservedDatabase {
  database: DatabaseId
  status: DatabaseStatus
  /** When the status poll was sent; the status is at least this recent. */
  observedAt: Milliseconds
}

/** Written by `manifest-follower`. Null before the first manifest; the instance accepts no work until then. */
export const manifestEntry = defineEntry<ManifestInForce | null>('manifest', null)
/** Written by `directory-follower`. */
export const directoryEntry = defineEntry<Directory | null>('directory', null)
/** Written by `freshness-lease`. */
export const freshnessEntry = defineEntry<FreshnessLease>('freshness', { confirmedAt: milliseconds(-Infinity), validUntil: milliseconds(0), leaderTerm: 0 })
/** Written by `share-holder`. */
export const sharesEntry = defineEntry<ReadonlyMap<ResourceId, LeasedShare>>('shares', new Map())
/** Written by `status-watcher`. A database that stopped answering keeps its last status. */
export const observedDatabasesEntry = defineEntry<ReadonlyMap<DatabaseId, ObservedDatabase>>('observed-databases', new Map())
/** Written by `drain` or `planned-stop`. True after SIGTERM. */
export const drainingEntry = defineEntry<boolean>('draining', false)
/** Written by `planned-stop`. */
export const stopStageEntry = defineEntry<StopStage>('stop-stage', 'none')

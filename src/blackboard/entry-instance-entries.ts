import type { DatabaseStatus } from '../types/database-status.js'
import type { Directory } from '../types/directory.js'
import type { DatabaseId, ResourceId } from '../types/ids.js'
import type { Manifest } from '../types/manifest.js'
import type { Milliseconds } from '../types/clock.js'
import { milliseconds } from '../types/clock.js'
import type { ShareAmount } from '../types/share.js'
import { defineEntry } from './blackboard.js'

/** Manifest in force at this instance. */
export interface ManifestInForce {
  version: number
  manifest: Manifest
}

export interface FreshnessLease {
  /** Send time of the heartbeat that a majority confirmed last. */
  provenAt: Milliseconds
  /** The lease holds before this time. */
  validUntil: Milliseconds
  leaderTerm: number
}

/** A share that this instance may use before `validUntil`. */
export interface LeasedShare extends ShareAmount {
  resource: ResourceId
  grant: number
  validUntil: Milliseconds
}

/** A database as seen over this holder's status connection. */
export interface ObservedDatabase {
  database: DatabaseId
  status: DatabaseStatus
  /** When the status was asked for; it is at least this recent. */
  observedAt: Milliseconds
}

/** Written by `manifest-follower`. Null before the first manifest: no work is accepted. */
export const manifestEntry = defineEntry<ManifestInForce | null>('manifest', null)
/** Written by `directory-follower`. */
export const directoryEntry = defineEntry<Directory | null>('directory', null)
/** Written by `freshness-lease`. */
export const freshnessEntry = defineEntry<FreshnessLease>('freshness', { provenAt: milliseconds(0), validUntil: milliseconds(0), leaderTerm: 0 })
/** Written by `share-holder`. */
export const sharesEntry = defineEntry<ReadonlyMap<ResourceId, LeasedShare>>('shares', new Map())
/** Written by `status-watcher`. A database that stopped answering keeps its last status. */
export const observedDatabasesEntry = defineEntry<ReadonlyMap<DatabaseId, ObservedDatabase>>('observed-databases', new Map())
/** Written by `drain`. True after SIGTERM. */
export const drainingEntry = defineEntry<boolean>('draining', false)

import type { DatabaseId, GroupId } from './ids.js'
import type { Manifest } from './manifest.js'
import type { ServiceLevelCommand, ServiceLevelState } from './service-level.js'

/** A change that the replicated log carries. */
export type Command =
  | { kind: 'commit-manifest', base: number, manifest: Manifest, digest: string, operator: string }
  | { kind: 'begin-election', group: GroupId, term: number }
  | { kind: 'set-primary', group: GroupId, term: number, database: DatabaseId }
  | ServiceLevelCommand
  /** Changes nothing; once it is applied, everything committed by earlier leaders is applied too. */
  | { kind: 'barrier' }

export interface ReplicatedGroup {
  group: GroupId
  term: number
  primary: DatabaseId | null
  /** `electing`: `term` has begun and has no primary yet. */
  phase: 'serving' | 'electing'
}

/** State that every control member derives from the log. */
export interface ReplicatedState {
  /** 0: none was committed yet. */
  manifestVersion: number
  manifest: Manifest | null
  /** Content digest of each accepted version that is still remembered, oldest first. */
  acceptedDigests: { version: number, digest: string, operator: string }[]
  groups: ReplicatedGroup[]
  /** Requests counted against the objectives of their workspaces. */
  serviceLevels: ServiceLevelState
}

export type CommandAnswer =
  | { kind: 'manifest-accepted', manifestVersion: number, resent: boolean }
  | { kind: 'manifest-conflict', currentVersion: number, winningDigest: string, winningOperator: string }
  | { kind: 'group-changed', group: ReplicatedGroup }
  | { kind: 'group-conflict', group: ReplicatedGroup }
  | { kind: 'requests-counted' }
  | { kind: 'barrier-passed' }

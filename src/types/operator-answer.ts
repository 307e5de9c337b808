import type { Address, KeyId } from './ids.js'
import type { Manifest, Workspace } from './manifest.js'
import type { Refusal } from './outcome.js'

/** One thing that is wrong in a manifest or settings file. */
export interface FieldProblem {
  /** JSON path such as `workspaces[2].rate`; empty for the whole document. */
  path: string
  message: string
}

export interface CommitAnswer {
  manifestVersion: number
  /** Content digest of the manifest. */
  digest: string
  /** The same commit had been accepted before. */
  resent: boolean
}

/** A refusal to an operator, with what helps to act on it. */
export interface OperatorRefusal extends Refusal {
  /** With `not-leader`: where operators reach the leader, if known. */
  leaderAddress?: Address | null
  /** With `manifest-invalid`: everything that is wrong. */
  problems?: FieldProblem[]
  /** With `manifest-conflict`: what won. */
  conflict?: ManifestConflict
}

export interface ManifestConflict {
  currentVersion: number
  /** Version that the winning digest belongs to: the one that was asked for, or the current one; null: none was accepted yet. */
  winningVersion: number | null
  winningDigest: string
  winningOperator: string
}

/** A key without its digest. */
export interface ShownKey {
  id: KeyId
  /** Changes when the digest changes; the digest can't be derived from it. */
  fingerprint: string
}

/** A manifest without the digests of its keys. */
export interface ShownManifest extends Omit<Manifest, 'workspaces'> {
  workspaces: (Omit<Workspace, 'keys'> & { keys: ShownKey[] })[]
}

/** Answer of `GET /v1/manifest`. */
export interface ManifestAnswer {
  /** 0: none was committed yet. */
  manifestVersion: number
  /** Content digest of the manifest; null when there is none. */
  digest: string | null
  committedBy: string | null
  manifest: ShownManifest | null
}

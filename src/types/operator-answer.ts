import type { Address, KeyId } from './ids.js'
import type { Manifest, Workspace } from './manifest.js'
import type { Refusal } from './outcome.js'

/** One problem in a manifest or settings file. */
export interface FieldProblem {
  /** JSON path such as `workspaces[2].rate`; empty for the whole document. */
  path: string
  message: string
}

export interface CommitAnswer {
  manifestVersion: number
  /** Content digest of the manifest. */
  digest: string
  /** The control log had accepted the same commit before. */
  resent: boolean
}

/** A refusal to an operator, with details that tell what to do next. */
export interface OperatorRefusal extends Refusal {
  /** With `not-leader`: address under which operators reach the leader, if known. */
  leaderAddress?: Address | null
  /** With `manifest-invalid`: every problem found. */
  problems?: FieldProblem[]
  /** With `manifest-conflict`: the manifest that was accepted instead. */
  conflict?: ManifestConflict
}

export interface ManifestConflict {
  currentVersion: number
  /** Version with the winning digest: the one that the commit would have had, or else the newest one; null: none was accepted yet. */
  winningVersion: number | null
  winningDigest: string
  winningOperator: string
}

/** A key without its digest. */
export interface RedactedKey {
  id: KeyId
  /** Changes with the digest; nobody can derive the digest from it. */
  fingerprint: string
}

/** A manifest without the digests of its keys. */
export interface RedactedManifest extends Omit<Manifest, 'workspaces'> {
  workspaces: (Omit<Workspace, 'keys'> & { keys: RedactedKey[] })[]
}

/** Answer of `GET /v1/manifest`. */
export interface ManifestAnswer {
  /** 0: no manifest was committed yet. */
  manifestVersion: number
  /** Content digest of the manifest; null when there is no manifest. */
  digest: string | null
  committedBy: string | null
  manifest: RedactedManifest | null
}

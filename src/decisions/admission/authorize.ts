import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { GroupId, KeyId, WorkspaceId } from '../../types/ids.js'
import type { Manifest, Route, Workspace } from '../../types/manifest.js'
import type { CallerOperation } from '../../types/caller-request.js'
import type { Operation } from '../../types/peer-message.js'
import type { Refusal } from '../../types/outcome.js'
import { buildRefusal } from '../../types/result-code.js'

/** A request that is allowed to run, with its workspace and group. */
export interface AuthorizedRequest {
  workspace: WorkspaceId
  group: GroupId
  /** Null on an open route, which needs no key. */
  keyId: KeyId | null
  operation: Operation
}

/** Look-up tables of one manifest version. They are built once, when the version comes into force. */
export interface ManifestIndex {
  readonly workspacesByKeyDigest: ReadonlyMap<string, { workspace: Workspace, keyId: KeyId }>
  readonly workspaces: ReadonlyMap<WorkspaceId, Workspace>
  readonly routes: ReadonlyMap<string, Route>
}

/** @returns the look-up tables of a manifest */
export function indexManifest (manifest: Manifest): ManifestIndex {
  const keys = manifest.workspaces.flatMap((workspace) => workspace.keys.map((key) => [key.digest, { workspace, keyId: key.id }] as const))
  return {
    workspacesByKeyDigest: new Map(keys),
    workspaces: new Map(manifest.workspaces.map((workspace) => [workspace.id, workspace])),
    routes: new Map(manifest.routes.map((route) => [route.name, route]))
  }
}

/**
 * Decides whether a request may run, and for which workspace.
 * @param index - look-up tables of the manifest in force
 * @param keyDigest - SHA-256 digest of the key of the request; null if it has none
 * @param operation - operation that the caller requests
 * @returns the workspace and operation, or a refusal because the key is missing or refused, or the route is unknown
 */
export function authorize (index: ManifestIndex, keyDigest: string | null, operation: CallerOperation): Result<AuthorizedRequest, Refusal> {
  if (operation.kind === 'route') return authorizeRoute(index, keyDigest, operation.name, operation.values)
  if (keyDigest === null) return err(buildRefusal('keyMissing', 'not-run', 'the request carries no key'))
  const known = index.workspacesByKeyDigest.get(keyDigest)
  if (known === undefined) return err(buildRefusal('keyRefused', 'not-run', 'the key is unknown or withdrawn'))
  return ok({ workspace: known.workspace.id, group: known.workspace.group, keyId: known.keyId, operation })
}

function authorizeRoute (index: ManifestIndex, keyDigest: string | null, name: string, values: Extract<CallerOperation, { kind: 'route' }>['values']): Result<AuthorizedRequest, Refusal> {
  const route = index.routes.get(name)
  if (route === undefined) return err(buildRefusal('unknownRoute', 'not-run', `the manifest declares no route ${name}`))
  const operation: Operation = { kind: 'statement', statement: route.statement, values, access: route.access }
  const workspace = index.workspaces.get(route.workspace)
  if (workspace === undefined) return err(buildRefusal('unknownRoute', 'not-run', `route ${name} has no workspace`))
  if (route.open) return ok({ workspace: workspace.id, group: workspace.group, keyId: null, operation })
  if (keyDigest === null) return err(buildRefusal('keyMissing', 'not-run', `route ${name} needs a key`))
  const known = index.workspacesByKeyDigest.get(keyDigest)
  // A key of another workspace gets the same refusal as an unknown key, so that the refusal reveals nothing about the route.
  if (known === undefined || known.workspace.id !== route.workspace) return err(buildRefusal('keyRefused', 'not-run', 'the key is unknown, withdrawn or of another workspace'))
  return ok({ workspace: workspace.id, group: workspace.group, keyId: known.keyId, operation })
}

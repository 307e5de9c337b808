import type { GroupId, KeyId, WorkspaceId } from '../../types/ids.js'
import type { Manifest, Workspace } from '../../types/manifest.js'
import type { Execute, Operation } from '../../types/peer-message.js'
import type { GroupView } from './group-view.js'

/** Checks requests against the keys and open routes of the current manifest. */
export interface KeyCheck {
  /** @returns whether the manifest lists the key for the workspace, and the workspace for this group */
  isKeyValid: (workspace: WorkspaceId, key: KeyId) => boolean
  /** @returns whether the request has a valid key, or needs none because an open route allows its statement */
  canRun: (request: Execute) => boolean
  /** @returns the weight of a workspace in the fair queue; 1 for an unknown workspace */
  weightOf: (workspace: WorkspaceId) => number
}

/** Look-up tables for one group, built from one manifest. */
interface GroupKeyIndex {
  manifest: Manifest | null
  workspaces: ReadonlyMap<WorkspaceId, Workspace>
  keys: ReadonlyMap<WorkspaceId, ReadonlySet<KeyId>>
  openStatements: ReadonlySet<string>
}

const buildOpenStatementKey = (workspace: WorkspaceId, access: string, statement: string): string => JSON.stringify([workspace, access, statement])

function buildIndex (manifest: Manifest | null, group: GroupId): GroupKeyIndex {
  const own = manifest?.workspaces.filter((workspace) => workspace.group === group) ?? []
  const open = manifest?.routes.filter((route) => route.open) ?? []
  return {
    manifest,
    workspaces: new Map(own.map((workspace) => [workspace.id, workspace])),
    keys: new Map(own.map((workspace) => [workspace.id, new Set(workspace.keys.map((key) => key.id))])),
    openStatements: new Set(open.map((route) => buildOpenStatementKey(route.workspace, route.access, route.statement)))
  }
}

/** @returns a check that reads the current manifest at each call */
export function createKeyCheck (view: GroupView, group: GroupId): KeyCheck {
  let cached = buildIndex(null, group)

  function readIndex (): GroupKeyIndex {
    const manifest = view.manifest()
    if (cached.manifest !== manifest) cached = buildIndex(manifest, group)
    return cached
  }

  // A request without a key comes from an open route, which callers may use without a key. It may run only the statement
  // that the manifest lists for such a route.
  function isOpenRequest (workspace: WorkspaceId, operation: Operation): boolean {
    if (operation.kind !== 'statement') return false
    return readIndex().workspaces.has(workspace) && readIndex().openStatements.has(buildOpenStatementKey(workspace, operation.access, operation.statement))
  }

  const isKeyValid = (workspace: WorkspaceId, key: KeyId): boolean => readIndex().keys.get(workspace)?.has(key) ?? false

  return {
    isKeyValid,
    canRun: (request) => request.keyId === null ? isOpenRequest(request.workspace, request.operation) : isKeyValid(request.workspace, request.keyId),
    weightOf: (workspace) => readIndex().workspaces.get(workspace)?.weight ?? 1
  }
}

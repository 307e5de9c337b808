import type { Blackboard } from '../../blackboard/blackboard.js'
import { manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { GroupId, WorkspaceId } from '../../types/ids.js'
import type { SessionEndpoint } from '../../types/manifest.js'
import type { SessionRefusal } from '../../types/session-statement.js'
import { buildRefusalPromisingNothingKept } from './session-services.js'
import type { SessionGrant } from './session-services.js'

/** Workspace of callers without a valid key on open endpoints, which require none. */
export const NO_WORKSPACE = '-' as WorkspaceId
/** Retry delay sent to callers: a new instance has usually received a manifest after this time. */
const NO_MANIFEST_RETRY_MS = 500

/** Lookups in the manifest in force for connection-oriented sessions. */
export interface EndpointIndex {
  /**
   * Checks the name of an endpoint and the digest of a caller's key.
   * @param keyDigest - null when the caller sent no key
   * @returns what the session may use, or the refusal
   */
  authorize: (endpointName: string, keyDigest: string | null) => SessionGrant | SessionRefusal
  /** @returns number of connections that each database of a group accepts; 1 for an unknown group */
  connectionLimit: (group: GroupId) => number
  /** @returns rate of a workspace in requests per second; 0 for an unknown workspace */
  rateOf: (workspace: WorkspaceId) => number
}

/** Creates the index. It is rebuilt whenever a manifest comes into force. */
export function createEndpointIndex (blackboard: Blackboard): EndpointIndex {
  const manifest = blackboard.reader(manifestEntry)
  let version = 0
  let endpoints = new Map<string, SessionEndpoint>()
  let workspaces = new Map<string, WorkspaceId>()
  let connectionLimits = new Map<GroupId, number>()
  let rates = new Map<WorkspaceId, number>()

  function rebuild (): void {
    const inForce = manifest.read()
    if (inForce === null) return
    version = inForce.version
    const { endpoints: listedEndpoints = [], workspaces: listedWorkspaces, groups } = inForce.manifest
    endpoints = new Map()
    // Sessions name an endpoint without a path. Of several endpoints with one name, the one with the shortest path is used.
    for (const endpoint of listedEndpoints) {
      const other = endpoints.get(endpoint.name)
      if (other === undefined || endpoint.path.length < other.path.length) endpoints.set(endpoint.name, endpoint)
    }
    workspaces = new Map(listedWorkspaces.flatMap(({ id, keys }) => keys.map(({ digest }) => [digest, id] as const)))
    rates = new Map(listedWorkspaces.map(({ id, rate }) => [id, rate]))
    connectionLimits = new Map(groups.map(({ id, connections }) => [id, connections]))
  }

  function authorize (endpointName: string, keyDigest: string | null): SessionGrant | SessionRefusal {
    if (version === 0) return buildRefusalPromisingNothingKept('notFresh', 'this instance has no manifest yet', NO_MANIFEST_RETRY_MS)
    const endpoint = endpoints.get(endpointName)
    if (endpoint === undefined) return { result: 'unknownEndpoint', promise: 'rejected', message: 'no endpoint has that name', retryAfterMs: null }
    const workspace = keyDigest === null ? undefined : workspaces.get(keyDigest)
    if (workspace !== undefined) return { endpoint, workspace, manifestVersion: version }
    if (endpoint.open) return { endpoint, workspace: NO_WORKSPACE, manifestVersion: version }
    const result = keyDigest === null ? 'keyMissing' : 'keyRefused'
    return { result, promise: 'rejected', message: 'the key is missing, unknown or withdrawn', retryAfterMs: null }
  }

  manifest.onWrite(rebuild)
  rebuild()
  return { authorize, connectionLimit: (group) => connectionLimits.get(group) ?? 1, rateOf: (workspace) => rates.get(workspace) ?? 0 }
}

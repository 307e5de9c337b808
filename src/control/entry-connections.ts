import type { Clock, Milliseconds } from '../types/clock.js'
import type { ControlToEntry, Heartbeat } from '../types/control-message.js'
import type { Directory, DirectoryVersion } from '../types/directory.js'
import { compareDirectoryVersions, hasDirectoryVersion } from '../types/directory-version.js'
import type { InstanceId } from '../types/ids.js'
import type { Manifest } from '../types/manifest.js'

/** Name of the connection of one attached entry instance. */
export type ConnectionName = string

/** Minimum time before a version is sent again on the same connection, in ms: a heartbeat in flight may not report it yet. */
const RESEND_AFTER_MS = 400

export interface EntryConnection {
  name: ConnectionName
  /** Last heartbeat received over this connection; null before the first one. */
  heartbeat: Heartbeat | null
  manifestSent: { version: number, at: Milliseconds } | null
  directorySent: { version: DirectoryVersion, at: Milliseconds } | null
}

/** Manifest and directory that an instance must hold to get a freshness lease. */
export interface PublishedState {
  manifestVersion: number
  manifest: Manifest | null
  directory: Directory | null
}

export interface EntryConnectionsOptions {
  clock: Clock
  send: (connection: ConnectionName, message: ControlToEntry) => void
}

/** Connections of the attached entry instances, with the versions that this leader sent over each. */
export interface EntryConnections {
  findOrCreate: (name: ConnectionName) => EntryConnection
  detach: (name: ConnectionName) => void
  get: (name: ConnectionName) => EntryConnection | undefined
  all: () => EntryConnection[]
  /** @returns the connection over which the last heartbeat of the instance arrived */
  findByInstance: (instance: InstanceId) => EntryConnection | undefined
  /** Records the last heartbeat of an instance and the connection over which it arrived. */
  heartbeat: (name: ConnectionName, heartbeat: Heartbeat) => void
  /** Sends manifest and directory to each instance that has neither reported their present version nor been sent it. */
  push: (state: PublishedState) => void
  /** Sends the manifest and the directory again if the last heartbeat of the connection did not report them. */
  pushMissing: (connection: EntryConnection, state: PublishedState) => void
  /** Clears what was sent over the connections and reported by instances, and keeps the connections. */
  reset: () => void
}

/** Creates an empty list of connections. */
export function createEntryConnections ({ clock, send }: EntryConnectionsOptions): EntryConnections {
  const connections = new Map<ConnectionName, EntryConnection>()
  const connectionNames = new Map<InstanceId, ConnectionName>()

  function findOrCreate (name: ConnectionName): EntryConnection {
    const known = connections.get(name)
    if (known !== undefined) return known
    const connection = { name, heartbeat: null, manifestSent: null, directorySent: null }
    connections.set(name, connection)
    return connection
  }

  function detach (name: ConnectionName): void {
    const instance = connections.get(name)?.heartbeat?.instance
    connections.delete(name)
    if (instance !== undefined && connectionNames.get(instance) === name) connectionNames.delete(instance)
  }

  function heartbeat (name: ConnectionName, message: Heartbeat): void {
    findOrCreate(name).heartbeat = message
    connectionNames.set(message.instance, name)
  }

  // All connections get the same message object, so that it is encoded only once.
  let manifestMessage: Extract<ControlToEntry, { kind: 'manifest' }> | null = null
  let directoryMessage: Extract<ControlToEntry, { kind: 'directory' }> | null = null

  function sendManifest (connection: EntryConnection, { manifestVersion, manifest }: PublishedState): void {
    if (manifest === null) return
    connection.manifestSent = { version: manifestVersion, at: clock.now() }
    if (manifestMessage?.manifest !== manifest || manifestMessage.manifestVersion !== manifestVersion) manifestMessage = { version: 1, kind: 'manifest', manifestVersion, manifest }
    send(connection.name, manifestMessage)
  }

  function sendDirectory (connection: EntryConnection, { directory }: PublishedState): void {
    if (directory === null) return
    connection.directorySent = { version: directory.version, at: clock.now() }
    if (directoryMessage?.directory !== directory) directoryMessage = { version: 1, kind: 'directory', directory }
    send(connection.name, directoryMessage)
  }

  function push (state: PublishedState): void {
    for (const connection of connections.values()) {
      if (connection.heartbeat === null) continue
      if ((connection.manifestSent?.version ?? connection.heartbeat.manifestVersion) < state.manifestVersion) sendManifest(connection, state)
      const known = connection.directorySent?.version ?? connection.heartbeat.directoryVersion
      if (state.directory !== null && !hasDirectoryVersion(known, state.directory.version)) sendDirectory(connection, state)
    }
  }

  function pushMissing (connection: EntryConnection, state: PublishedState): void {
    const { heartbeat: last, manifestSent, directorySent } = connection
    if (last === null) return
    const isManifestInFlight = manifestSent !== null && manifestSent.version >= state.manifestVersion && clock.now() - manifestSent.at < RESEND_AFTER_MS
    if (last.manifestVersion < state.manifestVersion && !isManifestInFlight) sendManifest(connection, state)
    if (state.directory === null || hasDirectoryVersion(last.directoryVersion, state.directory.version)) return
    const isDirectoryInFlight = directorySent !== null && compareDirectoryVersions(directorySent.version, state.directory.version) >= 0 && clock.now() - directorySent.at < RESEND_AFTER_MS
    if (!isDirectoryInFlight) sendDirectory(connection, state)
  }

  function reset (): void {
    connectionNames.clear()
    for (const connection of connections.values()) Object.assign(connection, { heartbeat: null, manifestSent: null, directorySent: null })
  }

  return {
    findOrCreate,
    detach,
    heartbeat,
    push,
    pushMissing,
    reset,
    get: (name) => connections.get(name),
    all: () => [...connections.values()],
    findByInstance: (instance) => connections.get(connectionNames.get(instance) ?? '')
  }
}

import type { Clock, Milliseconds } from '../types/clock.js'
import type { ControlToEntry, Heartbeat } from '../types/control-message.js'
import type { Directory, DirectoryVersion } from '../types/directory.js'
import { compareDirectoryVersions, holdsDirectory } from '../types/directory-version.js'
import type { InstanceId } from '../types/ids.js'
import type { Manifest } from '../types/manifest.js'

/** Names the connection of one attached entry instance. */
export type ConnectionName = string

/** A version is sent again on the same connection only after this time, in ms: a heartbeat under way may not show it yet. */
const PUSH_AGAIN_MS = 400

export interface EntryConnection {
  name: ConnectionName
  /** Null until the first heartbeat. */
  heartbeat: Heartbeat | null
  manifestSent: { version: number, at: Milliseconds } | null
  directorySent: { version: DirectoryVersion, at: Milliseconds } | null
}

/** What an instance must hold to get a lease. */
export interface PublishedState {
  manifestVersion: number
  manifest: Manifest | null
  directory: Directory | null
}

export interface EntryConnectionsOptions {
  clock: Clock
  send: (connection: ConnectionName, message: ControlToEntry) => void
}

/** Connections of the attached entry instances and what was sent over each. */
export interface EntryConnections {
  attach: (name: ConnectionName) => EntryConnection
  detach: (name: ConnectionName) => void
  get: (name: ConnectionName) => EntryConnection | undefined
  all: () => EntryConnection[]
  /** @returns the connection over which the last heartbeat of the instance came */
  ofInstance: (instance: InstanceId) => EntryConnection | undefined
  /** Notes a heartbeat as the last one of its instance. */
  heartbeat: (name: ConnectionName, heartbeat: Heartbeat) => void
  /** Sends to each instance what was never sent to it. */
  push: (state: PublishedState) => void
  /** Sends what the last heartbeat of the connection showed to be missing. */
  pushMissing: (connection: EntryConnection, state: PublishedState) => void
  /** Forgets what was sent and reported; the connections stay. */
  reset: () => void
}

/** Creates the list, without connections. */
export function createEntryConnections ({ clock, send }: EntryConnectionsOptions): EntryConnections {
  const connections = new Map<ConnectionName, EntryConnection>()
  const byInstance = new Map<InstanceId, ConnectionName>()

  function attach (name: ConnectionName): EntryConnection {
    const known = connections.get(name)
    if (known !== undefined) return known
    const connection = { name, heartbeat: null, manifestSent: null, directorySent: null }
    connections.set(name, connection)
    return connection
  }

  function detach (name: ConnectionName): void {
    const instance = connections.get(name)?.heartbeat?.instance
    connections.delete(name)
    if (instance !== undefined && byInstance.get(instance) === name) byInstance.delete(instance)
  }

  function heartbeat (name: ConnectionName, message: Heartbeat): void {
    attach(name).heartbeat = message
    byInstance.set(message.instance, name)
  }

  // One object for all connections, so that it has to be encoded only once.
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
      if (state.directory !== null && !holdsDirectory(known, state.directory.version)) sendDirectory(connection, state)
    }
  }

  function pushMissing (connection: EntryConnection, state: PublishedState): void {
    const { heartbeat: last, manifestSent, directorySent } = connection
    if (last === null) return
    const manifestOnItsWay = manifestSent !== null && manifestSent.version >= state.manifestVersion && clock.now() - manifestSent.at < PUSH_AGAIN_MS
    if (last.manifestVersion < state.manifestVersion && !manifestOnItsWay) sendManifest(connection, state)
    if (state.directory === null || holdsDirectory(last.directoryVersion, state.directory.version)) return
    const directoryOnItsWay = directorySent !== null && compareDirectoryVersions(directorySent.version, state.directory.version) >= 0 && clock.now() - directorySent.at < PUSH_AGAIN_MS
    if (!directoryOnItsWay) sendDirectory(connection, state)
  }

  function reset (): void {
    byInstance.clear()
    for (const connection of connections.values()) Object.assign(connection, { heartbeat: null, manifestSent: null, directorySent: null })
  }

  return {
    attach,
    detach,
    heartbeat,
    push,
    pushMissing,
    reset,
    get: (name) => connections.get(name),
    all: () => [...connections.values()],
    ofInstance: (instance) => connections.get(byInstance.get(instance) ?? '')
  }
}

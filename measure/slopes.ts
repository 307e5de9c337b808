#!/usr/bin/env node
import { fork } from 'node:child_process'
import { mkdtempSync, readdirSync, rmSync, statSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Command } from 'commander'
import { listenForCallers } from '../src/adapters/http/caller-server.js'
import { openControlStorage } from '../src/adapters/disk/control-storage.js'
import { messageCodec } from '../src/adapters/ws/message-codec.js'
import { createHeartbeatDecoder, createHeartbeatEncoder } from '../src/decisions/freshness/heartbeat-codec.js'
import type { LogEntry } from '../src/types/consensus-entry.js'
import type { Heartbeat } from '../src/types/control-message.js'
import { address, databaseId, failureDomainId, groupId, incarnationId, instanceId, keyId, resourceId, workspaceId } from '../src/types/ids.js'
import type { Manifest } from '../src/types/manifest.js'

const IDLE_CONNECTIONS = 5000
const HEARTBEATS = 2000
const MANIFEST_CHANGES = 200
const MS_PER_SECOND = 1000
const US_PER_MS = 1000

/** Cost of one item or message at one size. Equal names at different sizes show how the cost grows. */
interface Slope { name: string, value: number, unit: string, size: string }

function buildHeartbeat (sequence: number, workspaces: number, groups: number): Heartbeat {
  const databases = Array.from({ length: groups * 3 }, (_, index) => databaseId(`group-${Math.floor(index / 3)}-database-${index % 3}`))
  const rates = Array.from({ length: workspaces }, (_, index) => resourceId('rate', `workspace-${index}`))
  const resources = [...rates, ...databases.flatMap((database) => [resourceId('slots', database), resourceId('connections', database)])]
  return {
    version: 1,
    kind: 'heartbeat',
    sequence,
    instance: instanceId('entry-1'),
    incarnation: incarnationId('entry-1.abcdefgh'),
    peerAddress: address('10.0.0.1:7000'),
    failureDomain: failureDomainId('north'),
    draining: false,
    leaderTerm: 3,
    manifestVersion: 12,
    directoryVersion: { leaderTerm: 3, counter: 40 },
    held: resources.map((resource) => ({ resource, amount: 2, burst: 0, grant: 3 * 2 ** 32 + 17, returnedTokens: 0 })),
    // Two successive heartbeats differ in one demand and in the position of one database.
    demand: resources.map((resource, index) => ({ resource, amount: index === sequence % resources.length ? 3 : 2 })),
    observations: databases.map((database, index) => ({
      database,
      silentForMs: 0,
      status: { database, incarnation: incarnationId('run-1'), role: 'replica', term: 1, fencedTerm: 1, position: { term: 1, offset: index === 0 ? sequence : 7 }, ageMs: 5 }
    })),
    releasedTerms: Array.from({ length: groups }, (_, index) => ({ group: groupId(`group-${index}`), term: 1 }))
  }
}

/** Measures bytes and processor time of a heartbeat that is encoded as a difference and decoded again, without sockets. */
function measureHeartbeats (workspaces: number, groups: number): Slope[] {
  const encodeHeartbeat = createHeartbeatEncoder()
  const decodeHeartbeat = createHeartbeatDecoder()
  const first = messageCodec.pack(encodeHeartbeat(buildHeartbeat(0, workspaces, groups)))
  decodeHeartbeat(messageCodec.unpack(first))
  const heartbeats = Array.from({ length: HEARTBEATS }, (_, index) => buildHeartbeat(index + 1, workspaces, groups))
  const before = process.cpuUsage()
  let bytes = 0
  for (const heartbeat of heartbeats) {
    const packed = messageCodec.pack(encodeHeartbeat(heartbeat))
    bytes += packed.length
    decodeHeartbeat(messageCodec.unpack(packed))
  }
  const used = process.cpuUsage(before)
  const size = `${workspaces} workspaces, ${groups} groups held`
  return [
    { name: 'first_heartbeat_bytes', value: first.length, unit: 'bytes', size },
    { name: 'heartbeat_bytes', value: bytes / HEARTBEATS, unit: 'bytes', size },
    { name: 'heartbeat_processor_time', value: (used.user + used.system) / HEARTBEATS, unit: 'us, both ends', size }
  ]
}

/** Measures the resident memory of this process per idle caller connection. The callers run in a child process. */
async function measureIdleConnections (): Promise<Slope> {
  const server = await listenForCallers({
    host: '127.0.0.1',
    port: 0,
    tls: null,
    bodyBytes: 1024,
    headerCount: 64,
    headersMs: 60_000,
    idleConnectionMs: 60_000,
    announcementSecret: 'not used here',
    serve: async () => { throw new Error('no request is sent') },
    encodeSession: () => null,
    announce: () => {},
    logEvent: () => {}
  })
  const before = process.memoryUsage().rss
  const callers = fork(fileURLToPath(new URL('idle-callers.js', import.meta.url)), [String(server.port), String(IDLE_CONNECTIONS)])
  await new Promise((resolve) => { callers.once('message', resolve) })
  const bytes = (process.memoryUsage().rss - before) / IDLE_CONNECTIONS
  callers.kill()
  await server.close()
  return { name: 'idle_caller_connection', value: bytes, unit: 'bytes resident', size: `${IDLE_CONNECTIONS} connections` }
}

function buildManifest (workspaces: number): Manifest {
  return {
    formatVersion: 1,
    failureDomains: [{ id: failureDomainId('north'), state: 'in' }],
    groups: [{ id: groupId('group-1'), slots: 5, connections: 30 }],
    workspaces: Array.from({ length: workspaces }, (_, index) => ({ id: workspaceId(`workspace-${index}`), group: groupId('group-1'), rate: 100, burst: 50, weight: 1, keys: [{ id: keyId(`key-${index}`), digest: 'a'.repeat(64) }] })),
    routes: []
  }
}

/** Measures bytes on disk and elapsed time per manifest change that is synced to disk. */
async function measureManifestLog (workspaces: number): Promise<Slope[]> {
  const folder = mkdtempSync(join(tmpdir(), 'catkinrelay-slopes-'))
  const opened = (await openControlStorage(join(folder, 'member')))._unsafeUnwrap()
  const manifest = buildManifest(workspaces)
  const startedAt = performance.now()
  for (let index = 1; index <= MANIFEST_CHANGES; index++) {
    const entry: LogEntry = { index, term: 1, payload: { kind: 'command', command: { kind: 'commit-manifest', base: index - 1, manifest, digest: 'd'.repeat(64), operator: 'pipeline' } } }
    ;(await opened.storage.persist([{ kind: 'entries', entries: [entry] }]))._unsafeUnwrap()
  }
  const elapsedMs = performance.now() - startedAt
  await opened.storage.close()
  const bytes = readdirSync(join(folder, 'member')).reduce((sum, name) => sum + statSync(join(folder, 'member', name)).size, 0)
  rmSync(folder, { recursive: true, force: true })
  const size = `manifest of ${workspaces} workspaces`
  return [
    { name: 'log_bytes_per_change', value: bytes / MANIFEST_CHANGES, unit: 'bytes', size },
    { name: 'synced_change', value: elapsedMs / MANIFEST_CHANGES * US_PER_MS, unit: 'us elapsed', size },
    { name: 'manifest_message', value: messageCodec.pack({ version: 1, kind: 'manifest', manifestVersion: 1, manifest }).length, unit: 'bytes', size }
  ]
}

const command = new Command('slopes').description('Measures how state, messages and processor time grow; used by docs/CAPACITY.md. Uses no randomness.').option('--json', 'one JSON object a line').parse()
const { json } = command.opts<{ json?: boolean }>()
const startedAt = performance.now()
const slopes: Slope[] = [
  await measureIdleConnections(),
  ...[[8, 1], [8, 3], [50, 3], [600, 3]].flatMap(([workspaces = 0, groups = 0]) => measureHeartbeats(workspaces, groups)),
  ...(await Promise.all([8, 600].map(measureManifestLog))).flat()
]
for (const { name, value, unit, size } of slopes) {
  console.log(json === true ? JSON.stringify({ name, value, unit, size }) : `${name.padEnd(26)} ${value.toPrecision(4).padStart(10)} ${unit.padEnd(16)} ${size}`)
}
if (json !== true) console.log(`took ${((performance.now() - startedAt) / MS_PER_SECOND).toFixed(1)} s`)
process.exit(0)

import { createHash } from 'node:crypto'
import { Packr } from 'msgpackr'
import type { DirectoryDatabase, DirectoryGroup, DirectoryInstance } from '../src/types/directory.js'
import { instanceId } from '../src/types/ids.js'
import { createRandom } from '../src/utils/create-random.js'
import { fleetAnnouncement, fleetHeartbeat, fleetManifest, fleetSizes } from './coordination-fleet.js'
import type { FleetSize } from './coordination-fleet.js'
import { createDay } from './directory-day.js'
import type { DirectoryChange } from './directory-day.js'

/**
 * Compares ways to keep the directory of every instance current over one day: `node dist/measure/directory-digest.js [seed]`.
 * Bytes are those of msgpackr messages; processor times are measured for one message and multiplied. Nothing is sent.
 */
const DEFAULT_SEED = 20261204
const HEARTBEATS_PER_DAY = 2 * 86_400
const DIGEST_BYTES = 16
const REPETITIONS = 30

type Item = DirectoryInstance | DirectoryGroup | DirectoryDatabase

interface Fleet {
  size: FleetSize
  /** Ordered by name. */
  items: Map<string, Item>
  digests: Map<string, Buffer>
}

interface Costs {
  scheme: string
  /** To and from one instance over the day. */
  bytes: number
  /** Most that one change sends to one instance. */
  burst: number
  leaderMs: number
  instanceMs: number
}

const packr = new Packr()
const sizeOf = (value: unknown): number => packr.pack(value).length

function createFleet (size: FleetSize): Fleet {
  const items = new Map<string, Item>()
  for (const { group, term, primary, phase } of fleetManifest(size).groups) {
    const number = Number(group.slice(-4))
    const holders = [0, 1, 2].map((offset) => instanceId(`instance-${String((number * 3 + offset) % size.instances).padStart(4, '0')}`))
    items.set(`group:${group}`, { group, term, primary, phase, holders })
  }
  for (let index = 0; index < size.databases; index++) {
    const { database, group, address, failureDomain } = fleetAnnouncement(size, index)
    items.set(`database:${database}`, { database, group, address, failureDomain, weight: 1 })
  }
  for (let index = 0; index < size.instances; index++) {
    const { instance, incarnation, peerAddress, failureDomain, draining } = fleetHeartbeat(size, index, 1)
    items.set(`instance:${instance}`, { instance, incarnation, peerAddress, failureDomain, draining })
  }
  const sorted = new Map([...items].sort(([left], [right]) => left < right ? -1 : 1))
  return { size, items: sorted, digests: new Map([...sorted].map(([name, item]) => [name, digestItem(name, item)])) }
}

function digestItem (name: string, item: Item): Buffer {
  return createHash('sha256').update(JSON.stringify([name, item])).digest().subarray(0, DIGEST_BYTES)
}

/** Item digests in the order of the names, hashed together, so that an item that moved or is missing changes the result. */
function combine (digests: ReadonlyMap<string, Buffer>): Buffer {
  const hash = createHash('sha256')
  for (const digest of digests.values()) hash.update(digest)
  return hash.digest().subarray(0, DIGEST_BYTES)
}

function millisecondsOf (action: () => void): number {
  for (let count = 0; count < REPETITIONS; count++) action()
  const start = process.cpuUsage()
  for (let count = 0; count < REPETITIONS; count++) action()
  const { user, system } = process.cpuUsage(start)
  return (user + system) / 1000 / REPETITIONS
}

/** Encoding, decoding and digests of one whole directory and of one change. */
function measureParts ({ items, digests, size }: Fleet) {
  const whole = { version: 1, kind: 'directory', directory: { version: { leaderTerm: 3, counter: 12 }, items: [...items.values()] } }
  const packed = packr.pack(whole)
  const [name, item] = [...items][0] as [string, Item]
  const changed = { version: 1, kind: 'directory', directory: { version: { leaderTerm: 3, counter: 12 }, changed: [item] } }
  const packedChange = packr.pack(changed)
  return {
    wholeBytes: packed.length,
    itemBytes: sizeOf([...items.values()]) / items.size,
    changeHeaderBytes: packedChange.length - sizeOf(item),
    versionBytes: sizeOf({ directoryVersion: { leaderTerm: 3, counter: 12 } }),
    digestBytes: sizeOf({ directoryDigest: Buffer.alloc(DIGEST_BYTES) }),
    itemDigestListBytes: sizeOf(Buffer.concat([...digests.values()])),
    encodeWhole: millisecondsOf(() => { packr.pack(whole) }),
    decodeWhole: millisecondsOf(() => { packr.unpack(packed) }),
    encodeChange: millisecondsOf(() => { packr.pack(changed) }),
    decodeChange: millisecondsOf(() => { packr.unpack(packedChange) }),
    digestOne: millisecondsOf(() => { digestItem(name, item) }),
    combineAll: millisecondsOf(() => { combine(digests) }),
    instances: size.instances
  }
}

type Parts = ReturnType<typeof measureParts>

/** What the changes of the day cost, if each is sent to every instance in the given way. */
function costOf (scheme: string, parts: Parts, changes: readonly DirectoryChange[], heartbeatBytes: number, change: (parts: Parts, change: DirectoryChange) => Omit<Costs, 'scheme' | 'burst'>): Costs {
  const costs = { scheme, bytes: HEARTBEATS_PER_DAY * heartbeatBytes, burst: 0, leaderMs: 0, instanceMs: 0 }
  for (const entry of changes) {
    const { bytes, leaderMs, instanceMs } = change(parts, entry)
    costs.bytes += bytes
    costs.burst = Math.max(costs.burst, bytes)
    costs.leaderMs += leaderMs
    costs.instanceMs += instanceMs
  }
  return costs
}

// The adapter encodes a message once for each connection, as it does today.
const sendWhole = (parts: Parts) => ({ bytes: parts.wholeBytes, leaderMs: parts.encodeWhole * parts.instances, instanceMs: parts.decodeWhole })
const sendItems = (parts: Parts, { items }: DirectoryChange) => ({
  bytes: parts.changeHeaderBytes + items * parts.itemBytes,
  leaderMs: (parts.encodeChange + parts.encodeWhole * items * parts.itemBytes / parts.wholeBytes) * parts.instances,
  instanceMs: parts.decodeChange + parts.decodeWhole * items * parts.itemBytes / parts.wholeBytes
})

function withDigest (parts: Parts, change: DirectoryChange, send: typeof sendItems) {
  const sent = change.kind === 'leader' && change.items === 0 ? { bytes: 0, leaderMs: 0, instanceMs: 0 } : send(parts, change)
  const digesting = parts.digestOne * change.items + parts.combineAll
  return { bytes: sent.bytes, leaderMs: sent.leaderMs + digesting, instanceMs: sent.instanceMs + digesting }
}

/** After a change of leader, an instance whose digest differs sends its item digests and gets the items that differ. */
function sendDifference (parts: Parts, change: DirectoryChange) {
  const sent = sendItems(parts, change)
  return change.kind === 'leader' ? { ...sent, bytes: sent.bytes + parts.itemDigestListBytes } : sent
}

function compare (size: FleetSize, seed: number): void {
  const fleet = createFleet(size)
  const parts = measureParts(fleet)
  const changes = createDay(size, createRandom(seed))
  const leaders = changes.filter(({ kind }) => kind === 'leader').length
  const { versionBytes, digestBytes } = parts
  const everyAnswer: Costs = {
    scheme: 'whole directory in each answer', bytes: HEARTBEATS_PER_DAY * parts.wholeBytes, burst: parts.wholeBytes, leaderMs: HEARTBEATS_PER_DAY * parts.encodeWhole * size.instances, instanceMs: HEARTBEATS_PER_DAY * parts.decodeWhole
  }
  const results = [
    everyAnswer,
    costOf('version, whole directory on a change (today)', parts, changes, 2 * versionBytes, sendWhole),
    costOf('version, changed items; whole after a change of leader', parts, changes, 2 * versionBytes, (all, change) => change.kind === 'leader' ? sendWhole(all) : sendItems(all, change)),
    costOf('digest, whole directory on a change', parts, changes, 2 * digestBytes, (all, change) => withDigest(all, change, sendWhole)),
    costOf('digest, changed items; differing items after a change of leader', parts, changes, 2 * digestBytes, (all, change) => withDigest(all, change, sendDifference))
  ]
  console.log(`\n${size.instances} instances, ${size.groups} groups, ${size.databases} databases: ${changes.length} changes in the day, ${leaders} of them after a change of leader`)
  console.log(`whole directory ${parts.wholeBytes} B, encode ${parts.encodeWhole.toFixed(3)} ms, decode ${parts.decodeWhole.toFixed(3)} ms; one item ${parts.itemBytes.toFixed(0)} B; version ${versionBytes} B, digest ${digestBytes} B, all item digests ${parts.itemDigestListBytes} B; combine ${parts.combineAll.toFixed(3)} ms`)
  console.log('B/s per instance | largest change, B | leader core share | instance core share | scheme')
  for (const { scheme, bytes, burst, leaderMs, instanceMs } of results) {
    const share = (spent: number) => (spent / 86_400_000).toExponential(1).padStart(17)
    console.log(`${(bytes / 86_400).toFixed(1).padStart(16)} | ${burst.toFixed(0).padStart(17)} | ${share(leaderMs)} | ${share(instanceMs)}   | ${scheme}`)
  }
}

const seed = Number(process.argv[2] ?? DEFAULT_SEED)
console.log(`Node.js ${process.version}, seed ${seed}`)
for (const size of fleetSizes) compare(size, seed)

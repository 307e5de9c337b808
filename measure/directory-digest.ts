// Compares schemes that keep the directory of every instance up to date, over one simulated day.
// Run it with `node dist/measure/directory-digest.js [seed]`. It sends nothing: it packs messages with msgpackr to count their bytes,
// measures the processor time of one message and multiplies it.
import { createHash } from 'node:crypto'
import { Packr } from 'msgpackr'
import type { DirectoryDatabase, DirectoryGroup, DirectoryInstance } from '../src/types/directory.js'
import { instanceId } from '../src/types/ids.js'
import { createRandom } from '../src/utils/create-random.js'
import { buildFleetAnnouncement, buildFleetHeartbeat, buildFleetManifest, fleetSizes } from './coordination-fleet.js'
import type { FleetSize } from './coordination-fleet.js'
import { createDirectoryDay } from './directory-day.js'
import type { DirectoryChange } from './directory-day.js'

const DEFAULT_SEED = 20261204
const HEARTBEATS_PER_DAY = 2 * 86_400
const DIGEST_BYTES = 16
const REPETITIONS = 30

type Item = DirectoryInstance | DirectoryGroup | DirectoryDatabase

interface Fleet {
  size: FleetSize
  /** Items of the directory by name, in the order of the names. */
  items: Map<string, Item>
  digests: Map<string, Buffer>
}

interface DayCosts {
  scheme: string
  /** Bytes to and from one instance over the day. */
  bytes: number
  /** Largest number of bytes that one change sends to one instance. */
  burst: number
  leaderMs: number
  instanceMs: number
}

const packr = new Packr()
const computePackedBytes = (value: unknown): number => packr.pack(value).length

function createFleet (size: FleetSize): Fleet {
  const items = new Map<string, Item>()
  for (const { group, term, primary, phase } of buildFleetManifest(size).groups) {
    const number = Number(group.slice(-4))
    const holders = [0, 1, 2].map((offset) => instanceId(`instance-${String((number * 3 + offset) % size.instances).padStart(4, '0')}`))
    items.set(`group:${group}`, { group, term, primary, phase, holders })
  }
  for (let index = 0; index < size.databases; index++) {
    const { database, group, address, failureDomain } = buildFleetAnnouncement(size, index)
    items.set(`database:${database}`, { database, group, address, failureDomain, weight: 1 })
  }
  for (let index = 0; index < size.instances; index++) {
    const { instance, incarnation, peerAddress, failureDomain, draining } = buildFleetHeartbeat(size, index, 1)
    items.set(`instance:${instance}`, { instance, incarnation, peerAddress, failureDomain, draining })
  }
  const sorted = new Map([...items].sort(([left], [right]) => left < right ? -1 : 1))
  return { size, items: sorted, digests: new Map([...sorted].map(([name, item]) => [name, digestItem(name, item)])) }
}

function digestItem (name: string, item: Item): Buffer {
  return createHash('sha256').update(JSON.stringify([name, item])).digest().subarray(0, DIGEST_BYTES)
}

/** Hashes all item digests in the order of their names, so that a missing item or a different order changes the result. */
function combineDigests (digests: ReadonlyMap<string, Buffer>): Buffer {
  const hash = createHash('sha256')
  for (const digest of digests.values()) hash.update(digest)
  return hash.digest().subarray(0, DIGEST_BYTES)
}

function measureProcessorMs (action: () => void): number {
  for (let count = 0; count < REPETITIONS; count++) action()
  const start = process.cpuUsage()
  for (let count = 0; count < REPETITIONS; count++) action()
  const { user, system } = process.cpuUsage(start)
  return (user + system) / 1000 / REPETITIONS
}

/** Measures size, encoding, decoding and digests of one whole directory and of one change. */
function measureUnitCosts ({ items, digests, size }: Fleet) {
  const whole = { version: 1, kind: 'directory', directory: { version: { leaderTerm: 3, counter: 12 }, items: [...items.values()] } }
  const packed = packr.pack(whole)
  const [name, item] = [...items][0] as [string, Item]
  const changed = { version: 1, kind: 'directory', directory: { version: { leaderTerm: 3, counter: 12 }, changed: [item] } }
  const packedChange = packr.pack(changed)
  return {
    wholeBytes: packed.length,
    itemBytes: computePackedBytes([...items.values()]) / items.size,
    changeHeaderBytes: packedChange.length - computePackedBytes(item),
    versionBytes: computePackedBytes({ directoryVersion: { leaderTerm: 3, counter: 12 } }),
    digestBytes: computePackedBytes({ directoryDigest: Buffer.alloc(DIGEST_BYTES) }),
    itemDigestListBytes: computePackedBytes(Buffer.concat([...digests.values()])),
    encodeWhole: measureProcessorMs(() => { packr.pack(whole) }),
    decodeWhole: measureProcessorMs(() => { packr.unpack(packed) }),
    encodeChange: measureProcessorMs(() => { packr.pack(changed) }),
    decodeChange: measureProcessorMs(() => { packr.unpack(packedChange) }),
    digestOne: measureProcessorMs(() => { digestItem(name, item) }),
    combineAll: measureProcessorMs(() => { combineDigests(digests) }),
    instances: size.instances
  }
}

type UnitCosts = ReturnType<typeof measureUnitCosts>

/** Adds up what one scheme costs over the day: the bytes in heartbeats, and the cost of sending each change to every instance. */
function computeDayCosts (scheme: string, unitCosts: UnitCosts, changes: readonly DirectoryChange[], heartbeatBytes: number, computeCost: (unitCosts: UnitCosts, change: DirectoryChange) => Omit<DayCosts, 'scheme' | 'burst'>): DayCosts {
  const costs = { scheme, bytes: HEARTBEATS_PER_DAY * heartbeatBytes, burst: 0, leaderMs: 0, instanceMs: 0 }
  for (const entry of changes) {
    const { bytes, leaderMs, instanceMs } = computeCost(unitCosts, entry)
    costs.bytes += bytes
    costs.burst = Math.max(costs.burst, bytes)
    costs.leaderMs += leaderMs
    costs.instanceMs += instanceMs
  }
  return costs
}

// The leader encodes a message again for each connection, as the message adapter does today.
const computeWholeCost = (unitCosts: UnitCosts) => ({ bytes: unitCosts.wholeBytes, leaderMs: unitCosts.encodeWhole * unitCosts.instances, instanceMs: unitCosts.decodeWhole })
const computeItemsCost = (unitCosts: UnitCosts, { items }: DirectoryChange) => ({
  bytes: unitCosts.changeHeaderBytes + items * unitCosts.itemBytes,
  leaderMs: (unitCosts.encodeChange + unitCosts.encodeWhole * items * unitCosts.itemBytes / unitCosts.wholeBytes) * unitCosts.instances,
  instanceMs: unitCosts.decodeChange + unitCosts.decodeWhole * items * unitCosts.itemBytes / unitCosts.wholeBytes
})

function addDigestCost (unitCosts: UnitCosts, change: DirectoryChange, computeCost: typeof computeItemsCost) {
  const sendingCost = change.kind === 'leader' && change.items === 0 ? { bytes: 0, leaderMs: 0, instanceMs: 0 } : computeCost(unitCosts, change)
  const digesting = unitCosts.digestOne * change.items + unitCosts.combineAll
  return { bytes: sendingCost.bytes, leaderMs: sendingCost.leaderMs + digesting, instanceMs: sendingCost.instanceMs + digesting }
}

/** After a change of leader, an instance whose digest differs sends its item digests and receives the items that differ. */
function computeDifferenceCost (unitCosts: UnitCosts, change: DirectoryChange) {
  const sendingCost = computeItemsCost(unitCosts, change)
  return change.kind === 'leader' ? { ...sendingCost, bytes: sendingCost.bytes + unitCosts.itemDigestListBytes } : sendingCost
}

function compareSchemes (size: FleetSize, seed: number): void {
  const fleet = createFleet(size)
  const unitCosts = measureUnitCosts(fleet)
  const changes = createDirectoryDay(size, createRandom(seed))
  const leaderVersions = changes.filter(({ kind }) => kind === 'leader').length
  const { versionBytes, digestBytes } = unitCosts
  const wholeInEachAnswer: DayCosts = {
    scheme: 'whole directory in each answer', bytes: HEARTBEATS_PER_DAY * unitCosts.wholeBytes, burst: unitCosts.wholeBytes, leaderMs: HEARTBEATS_PER_DAY * unitCosts.encodeWhole * size.instances, instanceMs: HEARTBEATS_PER_DAY * unitCosts.decodeWhole
  }
  const dayCosts = [
    wholeInEachAnswer,
    computeDayCosts('version, whole directory on a change (today)', unitCosts, changes, 2 * versionBytes, computeWholeCost),
    computeDayCosts('version, changed items; whole after a change of leader', unitCosts, changes, 2 * versionBytes, (costs, change) => change.kind === 'leader' ? computeWholeCost(costs) : computeItemsCost(costs, change)),
    computeDayCosts('digest, whole directory on a change', unitCosts, changes, 2 * digestBytes, (costs, change) => addDigestCost(costs, change, computeWholeCost)),
    computeDayCosts('digest, changed items; differing items after a change of leader', unitCosts, changes, 2 * digestBytes, (costs, change) => addDigestCost(costs, change, computeDifferenceCost))
  ]
  console.log(`\n${size.instances} instances, ${size.groups} groups, ${size.databases} databases: ${changes.length} changes in the day, ${leaderVersions} of them after a change of leader`)
  console.log(`whole directory ${unitCosts.wholeBytes} B, encode ${unitCosts.encodeWhole.toFixed(3)} ms, decode ${unitCosts.decodeWhole.toFixed(3)} ms; one item ${unitCosts.itemBytes.toFixed(0)} B; version ${versionBytes} B, digest ${digestBytes} B, all item digests ${unitCosts.itemDigestListBytes} B; combine ${unitCosts.combineAll.toFixed(3)} ms`)
  console.log('B/s per instance | largest change, B | leader core share | instance core share | scheme')
  for (const { scheme, bytes, burst, leaderMs, instanceMs } of dayCosts) {
    const formatCoreShare = (spent: number) => (spent / 86_400_000).toExponential(1).padStart(17)
    console.log(`${(bytes / 86_400).toFixed(1).padStart(16)} | ${burst.toFixed(0).padStart(17)} | ${formatCoreShare(leaderMs)} | ${formatCoreShare(instanceMs)}   | ${scheme}`)
  }
}

const seed = Number(process.argv[2] ?? DEFAULT_SEED)
console.log(`Node.js ${process.version}, seed ${seed}`)
for (const size of fleetSizes) compareSchemes(size, seed)

import fc from 'fast-check'
import t from 'tap'
import type { FleetInstance, FleetWorkspace, ShareFleetOptions, WholeResource } from '../../../measure/share-fleet.js'
import { createShareFleet } from '../../../measure/share-fleet.js'
import { selectRateHolders } from '../../../src/decisions/limits/select-rate-holders.js'
import { createSimulationRandom, createSimulation } from '../../../measure/simulation.js'
import type { InstanceId } from '../../../src/types/ids.js'
import { instanceId, resourceId, workspaceId } from '../../../src/types/ids.js'

// Instances together must never exceed a rate, burst or number of slots. Lost, late and reordered messages, restarts, overlapping
// incarnations, clocks of different speed and changes of leader could each let two instances use the same share.

const seed = 7004
const workspace = workspaceId('busy')
const rateResource = resourceId('rate', workspace)
const slots = resourceId('slots', 'database')
const SLOT_COUNT = 5
const instanceIds = ['a', 'b', 'c', 'd'].map(instanceId)
const ROUNDING_TOLERANCE = 1e-6
const STEP_MS = 5
/** The clocks of instances differ in speed from the leader's by up to this ratio, so any two of them differ by at most 1%. */
const CLOCK_ERROR_RATIO = 0.005

type FaultKind = 'restart' | 'stop' | 'overlap' | 'elect' | 'lower' | 'raise' | 'drain' | 'demand'
interface Fault { afterMs: number, kind: FaultKind, member: number }

const faults = fc.array(fc.record({
  afterMs: fc.integer({ min: 10, max: 3000 }),
  kind: fc.constantFrom<FaultKind>('restart', 'stop', 'overlap', 'elect', 'lower', 'raise', 'drain', 'demand', 'demand', 'demand'),
  member: fc.integer({ min: 0, max: instanceIds.length - 1 })
}), { minLength: 4, maxLength: 12 })

interface LinkCase { name: string, lossRatio: number, typicalMs: number, slowRatio: number, slowMs: number }

const links: LinkCase[] = [
  { name: 'a good link', lossRatio: 0, typicalMs: 2, slowRatio: 0, slowMs: 0 },
  { name: 'a link that loses messages', lossRatio: 0.3, typicalMs: 5, slowRatio: 0, slowMs: 0 },
  { name: 'a link that delays and reorders messages', lossRatio: 0.05, typicalMs: 20, slowRatio: 0.2, slowMs: 5000 }
]

/** Simulates a fleet under faults, with more demand than rate. Returns the first violation, or null. */
function runFleet (link: LinkCase, plan: Fault[], linkSeed: number, selectHolders: ShareFleetOptions['selectHolders'] = () => null): string | null {
  const random = createSimulationRandom(linkSeed)
  const simulation = createSimulation()
  const admissions: number[] = []
  const sizes: (FleetWorkspace & { from: number })[] = [{ id: workspace, rate: 40, burst: 20, from: 0 }]
  const demands = new Map<InstanceId, number>(instanceIds.map((member) => [member, 2]))
  const used = new Map<FleetInstance, number>()
  const latest = new Map<InstanceId, FleetInstance>()
  const whole: WholeResource = {
    resource: slots,
    amount: SLOT_COUNT,
    demandOf: (id) => demands.get(id) ?? 0,
    usedOf: (instance) => used.get(instance) ?? 0
  }
  const delay = (): number | null => {
    if (random() < link.lossRatio) return null
    return random() < link.slowRatio ? random() * link.slowMs : random() * link.typicalMs * 2
  }
  const fleet = createShareFleet({
    simulation,
    workspaces: [sizes[0] as FleetWorkspace],
    onOutcome: ({ isAdmitted, at }) => { if (isAdmitted) admissions.push(at) },
    delay,
    confirmMs: 3,
    staticParts: null,
    selectHolders,
    wholeResources: [whole]
  })
  const start = (member: InstanceId): void => {
    const instance = fleet.start(member, 1 + (random() * 2 - 1) * CLOCK_ERROR_RATIO)
    latest.set(member, instance)
    used.set(instance, 0)
  }
  const resize = (rate: number, burst: number): void => {
    sizes.push({ id: workspace, rate, burst, from: simulation.now() })
    fleet.setWorkspaces([{ id: workspace, rate, burst }])
  }
  const inject = ({ kind, member }: Fault): void => {
    const id = instanceIds[member] as InstanceId
    const instance = latest.get(id) as FleetInstance
    if (kind === 'restart' || kind === 'stop') fleet.stop(instance)
    // An overlapping incarnation starts while the former one continues, as when a hanging process is replaced.
    if (kind === 'restart' || kind === 'overlap') start(id)
    if (kind === 'elect') fleet.electLeader()
    if (kind === 'lower') resize(10, 4)
    if (kind === 'raise') resize(60, 30)
    if (kind === 'drain') instance.draining = true
    if (kind === 'demand') demands.set(id, Math.floor(random() * 8))
  }
  // The largest rate and burst that shares may still be based on. A change may fall into the wait of a new leader, so old sizes count for two share leases.
  const findLargestSize = (at: number): { rate: number, burst: number } => {
    const counted = sizes.filter((_, index) => (sizes[index + 1]?.from ?? Infinity) + 8300 > at)
    return { rate: Math.max(...counted.map(({ rate }) => rate)), burst: Math.max(...counted.map(({ burst }) => burst)) }
  }
  let violation: string | null = null
  const check = (): void => {
    const now = simulation.now()
    let amount = 0
    let burst = 0
    let tokens = 0
    let slotsHeld = 0
    let slotsUsed = 0
    for (const instance of used.keys()) {
      if (!instance.isAlive) continue
      const isValid = (validUntil: number): boolean => validUntil > instance.now()
      const rate = instance.shares().get(rateResource)
      const slot = instance.shares().get(slots)
      const slotShare = slot !== undefined && isValid(slot.validUntil) ? slot.amount : 0
      if (rate !== undefined && isValid(rate.validUntil)) {
        amount += rate.amount
        burst += rate.burst
        tokens += instance.buckets.count(rateResource)
      }
      // Running work keeps its slot, and new work starts only within the share. Without a share, all work is stopped.
      const before = slotShare === 0 && slot === undefined ? 0 : used.get(instance) ?? 0
      const wanted = Math.min(slotShare, demands.get(instance.instance) ?? 0)
      used.set(instance, before < wanted ? wanted : random() < 0.01 ? Math.max(wanted, before - 1) : before)
      slotsHeld += slotShare
      slotsUsed += used.get(instance) ?? 0
      // Instances without demand let their buckets fill, so that they return tokens when demand moves.
      if (random() < (demands.get(instance.instance) ?? 0) * 0.1) fleet.request(instance, workspace)
    }
    const largest = findLargestSize(now)
    const problems = [
      amount > largest.rate + ROUNDING_TOLERANCE ? `shares of ${amount} exceed the rate ${largest.rate}` : null,
      burst > largest.burst + ROUNDING_TOLERANCE ? `bursts of ${burst} exceed ${largest.burst}` : null,
      tokens > largest.burst + ROUNDING_TOLERANCE ? `tokens of ${tokens} exceed the burst ${largest.burst}` : null,
      slotsHeld > SLOT_COUNT ? `${slotsHeld} slots are held` : null,
      slotsUsed > SLOT_COUNT ? `${slotsUsed} slots are used` : null
    ]
    violation ??= problems.find((problem) => problem !== null)?.concat(` at ${now}`) ?? null
  }

  for (const member of instanceIds) start(member)
  let at = 5000
  for (const fault of plan) {
    at += fault.afterMs
    simulation.after(at, () => inject(fault))
  }
  for (let time = 0; time < at + 6000; time += STEP_MS) {
    simulation.runUntil(time)
    check()
  }
  if (admissions.length < 40) return `only ${admissions.length} admissions, too few to show anything`
  return violation ?? checkAdmissions(admissions, findLargestSize)
}

/** Checks with a token bucket: if the bucket is never overdrawn, every period contains at most rate × time + burst admissions. */
function checkAdmissions (admissions: number[], findLargestSize: (at: number) => { rate: number, burst: number }): string | null {
  let level = findLargestSize(0).burst
  let last = 0
  for (const at of admissions) {
    const { rate, burst } = findLargestSize(at)
    level = Math.min(burst, level + rate * (1 + CLOCK_ERROR_RATIO) * (at - last) / 1000) - 1
    last = at
    if (level < -ROUNDING_TOLERANCE * admissions.length) return `the admission at ${at} exceeds rate and burst by ${-level}`
  }
  return null
}

for (const link of links) {
  t.test(`shares, slots and admissions stay within their resource under crashes, restarts and leader changes over ${link.name}`, async (t) => {
    t.doesNotThrow(() => fc.assert(fc.property(faults, fc.integer({ min: 1, max: 1e6 }), (plan, linkSeed) => {
      const violation = runFleet(link, plan, linkSeed)
      if (violation !== null) throw new Error(violation)
    }), { seed, numRuns: 40 }))
  })

  t.test(`the same holds where two instances hold the rate for the others, over ${link.name}`, async (t) => {
    t.doesNotThrow(() => fc.assert(fc.property(faults, fc.integer({ min: 1, max: 1e6 }), (plan, linkSeed) => {
      const violation = runFleet(link, plan, linkSeed, selectRateHolders)
      if (violation !== null) throw new Error(violation)
    }), { seed, numRuns: 40 }))
  })
}

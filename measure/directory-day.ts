import type { FleetSize } from './coordination-fleet.js'

/** One published version of the directory. */
export interface DirectoryChange {
  kind: 'content' | 'leader'
  /** Items that differ from the version before. */
  items: number
}

/** Restarts of an instance in a day: 120 at 710 instances. */
const RESTARTS_PER_INSTANCE = 120 / 710
/** Failures of an instance in a day: 3 at 710 instances. */
const FAILURES_PER_INSTANCE = 3 / 710
const PRIMARY_CHANGES = 2
/** The requirements name no figure; a deployment of the control members changes the leader once, and one more is taken as a failure. */
const LEADER_CHANGES = 2
/** A failure domain is withdrawn and comes back; its weights rise in ten steps. */
const WEIGHT_STEPS = 10
/** A new leader publishes while instances attach to it: at each tick of 50 ms for one heartbeat interval. */
const LEADER_VERSIONS = 10

/** Draws how often something with this mean happens; the fraction happens by chance. */
function draw (mean: number, random: () => number): number {
  return Math.floor(mean) + (random() < mean % 1 ? 1 : 0)
}

/** @returns the versions of the directory that one day brings, with the rates of section 1.5 of the design page */
export function createDay (size: FleetSize, random: () => number): DirectoryChange[] {
  const changes: DirectoryChange[] = []
  const content = (items: number) => { changes.push({ kind: 'content', items }) }
  const heldGroups = () => draw(3 * size.groups / size.instances, random)
  for (let count = draw(RESTARTS_PER_INSTANCE * size.instances, random); count > 0; count--) {
    const moved = heldGroups()
    content(1 + moved)
    content(1)
    content(1 + moved)
  }
  for (let count = draw(FAILURES_PER_INSTANCE * size.instances, random); count > 0; count--) {
    content(1 + heldGroups())
    content(1 + heldGroups())
  }
  for (let count = 0; count < PRIMARY_CHANGES; count++) for (const items of [1, 1, 1]) content(items)
  const withdrawn = Math.ceil(size.databases / size.failureDomains)
  const holders = Math.ceil(size.groups * 3 / size.failureDomains)
  content(withdrawn + holders)
  for (let step = 0; step < WEIGHT_STEPS; step++) content(withdrawn)
  for (let count = 0; count < LEADER_CHANGES; count++) {
    for (let version = 1; version < LEADER_VERSIONS; version++) changes.push({ kind: 'leader', items: Math.ceil(size.instances / LEADER_VERSIONS) })
    // The last version has the content that the instances held under the old leader.
    changes.push({ kind: 'leader', items: 0 })
  }
  return changes
}

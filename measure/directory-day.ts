import type { FleetSize } from './coordination-fleet.js'

/** The change that one published version of the directory makes. */
export interface DirectoryChange {
  kind: 'content' | 'leader'
  /** Number of items that differ from the previous version. */
  items: number
}

/** 120 restarts a day among 710 instances. */
const RESTARTS_PER_INSTANCE_PER_DAY = 120 / 710
/** 3 failures a day among 710 instances. */
const FAILURES_PER_INSTANCE_PER_DAY = 3 / 710
const PRIMARY_CHANGES_PER_DAY = 2
/** The requirements give no number. One change comes from an upgrade of the control members, and one from an assumed failure. */
const LEADER_CHANGES_PER_DAY = 2
/** A failure domain that returns after its withdrawal gets its weight back in ten steps. */
const WEIGHT_STEPS = 10
/** Instances attach to a new leader during one heartbeat interval, and the leader publishes a version at each tick of 50 ms. */
const VERSIONS_PER_LEADER_CHANGE = 10

/** @returns the mean rounded down, or rounded up with a probability equal to its fraction */
function drawCount (mean: number, random: () => number): number {
  return Math.floor(mean) + (random() < mean % 1 ? 1 : 0)
}

/** @returns the directory changes of one simulated day, at the rates of section 1.5 of the design document */
export function createDirectoryDay (size: FleetSize, random: () => number): DirectoryChange[] {
  const changes: DirectoryChange[] = []
  const addContentChange = (items: number) => { changes.push({ kind: 'content', items }) }
  const drawHeldGroups = () => drawCount(3 * size.groups / size.instances, random)
  for (let count = drawCount(RESTARTS_PER_INSTANCE_PER_DAY * size.instances, random); count > 0; count--) {
    // Three versions: the instance drains and its groups move, the instance leaves, and it returns and gets as many groups again.
    const movedGroups = drawHeldGroups()
    addContentChange(1 + movedGroups)
    addContentChange(1)
    addContentChange(1 + movedGroups)
  }
  for (let count = drawCount(FAILURES_PER_INSTANCE_PER_DAY * size.instances, random); count > 0; count--) {
    // Two versions: the instance is lost and its groups move, and it returns and gets groups again.
    addContentChange(1 + drawHeldGroups())
    addContentChange(1 + drawHeldGroups())
  }
  for (let count = 0; count < PRIMARY_CHANGES_PER_DAY; count++) for (const items of [1, 1, 1]) addContentChange(items)
  const withdrawnDatabases = Math.ceil(size.databases / size.failureDomains)
  const movedGroupHolders = Math.ceil(size.groups * 3 / size.failureDomains)
  addContentChange(withdrawnDatabases + movedGroupHolders)
  for (let step = 0; step < WEIGHT_STEPS; step++) addContentChange(withdrawnDatabases)
  for (let count = 0; count < LEADER_CHANGES_PER_DAY; count++) {
    for (let version = 1; version < VERSIONS_PER_LEADER_CHANGE; version++) changes.push({ kind: 'leader', items: Math.ceil(size.instances / VERSIONS_PER_LEADER_CHANGE) })
    // The last version equals the directory that the instances held under the former leader, so no item differs.
    changes.push({ kind: 'leader', items: 0 })
  }
  return changes
}

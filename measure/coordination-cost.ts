// Prints the processor time that the controllers of a control leader use per tick or heartbeat.
// Run it with `node dist/measure/coordination-cost.js`. It uses no random numbers.
import { createBlackboard } from '../src/blackboard/blackboard.js'
import { leadershipEntry, replicatedStateEntry } from '../src/blackboard/control-instance-entries.js'
import { createDatabaseWeights } from '../src/decisions/failure-domains/database-weights.js'
import { createFailoverController } from '../src/decisions/failover/failover-controller.js'
import { createDatabaseRegistry } from '../src/decisions/membership/database-registry.js'
import { createDirectoryBuilder } from '../src/decisions/membership/directory-builder.js'
import { createHolderAssignment } from '../src/decisions/membership/holder-assignment.js'
import { createInstanceRegistry } from '../src/decisions/membership/instance-registry.js'
import { milliseconds } from '../src/types/clock.js'
import { buildFleetAnnouncement, buildFleetHeartbeat, buildFleetManifest, fleetSizes } from './coordination-fleet.js'
import type { FleetSize } from './coordination-fleet.js'
import { createEmptyServiceLevels } from '../src/types/service-level.js'

const REPETITIONS = 50

function measureProcessorTime (action: () => void, repetitions = REPETITIONS): string {
  const start = process.cpuUsage()
  for (let count = 0; count < repetitions; count++) action()
  const { user, system } = process.cpuUsage(start)
  return `${((user + system) / 1000 / repetitions).toFixed(3)} ms`
}

function measureFleet (size: FleetSize): void {
  const blackboard = createBlackboard()
  let now = 0
  const clock = { now: () => milliseconds(now) }
  blackboard.claim(leadershipEntry, 'measure').write({ term: 1, since: milliseconds(0) })
  const replicatedState = blackboard.claim(replicatedStateEntry, 'measure')
  const instances = createInstanceRegistry({ blackboard, clock })
  const databases = createDatabaseRegistry({ blackboard, clock })
  const weights = createDatabaseWeights({ blackboard, clock })
  const assignment = createHolderAssignment({ blackboard, clock })
  const builder = createDirectoryBuilder({ blackboard })
  const failover = createFailoverController({ blackboard, clock })
  const { manifest, groups } = buildFleetManifest(size)
  replicatedState.write({ manifestVersion: 1, manifest, acceptedDigests: [], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], groups, serviceLevels: createEmptyServiceLevels() })
  now = 2000
  let sequence = 0
  const handleAllHeartbeats = () => {
    sequence++
    for (let index = 0; index < size.instances; index++) instances.handle(buildFleetHeartbeat(size, index, sequence))
  }
  handleAllHeartbeats()
  for (let index = 0; index < size.databases; index++) databases.announce(buildFleetAnnouncement(size, index))
  console.log(`${size.instances} instances, ${size.groups} groups, ${size.databases} databases`)
  weights.tick()
  console.log(`  first holder placement              ${measureProcessorTime(() => { assignment.reset(); assignment.tick() }, 5)}`)
  while (assignment.tick().length > 0) now++
  console.log(`  placement without a change          ${measureProcessorTime(() => { assignment.invalidate(); assignment.tick() })}`)
  builder.build()
  console.log(`  directory build without a change    ${measureProcessorTime(() => { builder.build() })}`)
  failover.tick()
  console.log(`  failover tick without a change      ${measureProcessorTime(() => { now += 100; failover.tick() })}`)
  console.log(`  weights tick without a change       ${measureProcessorTime(() => { weights.tick() })}`)
  console.log(`  heartbeats of all instances         ${measureProcessorTime(handleAllHeartbeats)}`)
}

console.log(`Node.js ${process.version}`)
for (const size of fleetSizes) measureFleet(size)

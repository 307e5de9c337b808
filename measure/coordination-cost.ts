import { createBlackboard } from '../src/blackboard/blackboard.js'
import { leadershipEntry, replicatedStateEntry } from '../src/blackboard/control-instance-entries.js'
import { createDatabaseWeights } from '../src/decisions/failure-domains/database-weights.js'
import { createFailoverController } from '../src/decisions/failover/failover-controller.js'
import { createDatabaseRegistry } from '../src/decisions/membership/database-registry.js'
import { createDirectoryBuilder } from '../src/decisions/membership/directory-builder.js'
import { createHolderAssignment } from '../src/decisions/membership/holder-assignment.js'
import { createInstanceRegistry } from '../src/decisions/membership/instance-registry.js'
import { milliseconds } from '../src/types/clock.js'
import { fleetAnnouncement, fleetHeartbeat, fleetManifest, fleetSizes } from './coordination-fleet.js'
import type { FleetSize } from './coordination-fleet.js'
import { emptyServiceLevels } from '../src/types/service-level.js'

/** Processor time of the parts of a control leader that run at each tick or heartbeat: `node dist/measure/coordination-cost.js`. No randomness. */
const REPETITIONS = 50

function time (action: () => void, repetitions = REPETITIONS): string {
  const start = process.cpuUsage()
  for (let count = 0; count < repetitions; count++) action()
  const { user, system } = process.cpuUsage(start)
  return `${((user + system) / 1000 / repetitions).toFixed(3)} ms`
}

function measure (size: FleetSize): void {
  const blackboard = createBlackboard()
  let now = 0
  const clock = { now: () => milliseconds(now) }
  blackboard.claim(leadershipEntry, 'measure').write({ term: 1, since: milliseconds(0) })
  const state = blackboard.claim(replicatedStateEntry, 'measure')
  const instances = createInstanceRegistry({ blackboard, clock })
  const databases = createDatabaseRegistry({ blackboard, clock })
  const weights = createDatabaseWeights({ blackboard, clock })
  const assignment = createHolderAssignment({ blackboard, clock })
  const builder = createDirectoryBuilder({ blackboard })
  const failover = createFailoverController({ blackboard, clock })
  const { manifest, groups } = fleetManifest(size)
  state.write({ manifestVersion: 1, manifest, acceptedDigests: [], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], groups, serviceLevels: emptyServiceLevels() })
  now = 2000
  let sequence = 0
  const beat = () => {
    sequence++
    for (let index = 0; index < size.instances; index++) instances.handle(fleetHeartbeat(size, index, sequence))
  }
  beat()
  for (let index = 0; index < size.databases; index++) databases.announce(fleetAnnouncement(size, index))
  console.log(`${size.instances} instances, ${size.groups} groups, ${size.databases} databases`)
  weights.tick()
  console.log(`  first holder placement              ${time(() => { assignment.reset(); assignment.tick() }, 5)}`)
  while (assignment.tick().length > 0) now++
  console.log(`  placement without a change          ${time(() => { assignment.invalidate(); assignment.tick() })}`)
  builder.build()
  console.log(`  directory build without a change    ${time(() => { builder.build() })}`)
  failover.tick()
  console.log(`  failover tick without a change      ${time(() => { now += 100; failover.tick() })}`)
  console.log(`  weights tick without a change       ${time(() => { weights.tick() })}`)
  console.log(`  heartbeats of all instances         ${time(beat)}`)
}

console.log(`Node.js ${process.version}`)
for (const size of fleetSizes) measure(size)

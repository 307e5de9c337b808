// Guards against two leaders in one term, lost committed entries, and manifests that are accepted and then lost or replaced.
// Such faults need a rare order of events. So random schedules of crashes, lost writes, failing disks, partitions, message loss, delays, duplicates and
// replaced folders run against simulated members, and the fixture checks every member after every event.
import fc from 'fast-check'
import t from 'tap'
import { buildManifestCommand } from '../../fixtures/build-manifest-command.js'
import type { SimulatedCluster, SimulatedMember } from '../../fixtures/simulated-cluster.js'
import { createSimulatedCluster } from '../../fixtures/simulated-cluster.js'

const SEED = 20260131
const RUNS = 150

/** Position that stands for the current leader. */
const LEADER = 5
const position = fc.nat({ max: LEADER })
const stepArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('run' as const), durationMs: fc.constantFrom(10, 50, 200, 800, 2000) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('commit' as const), position, content: fc.constantFrom('a', 'b', 'c'), pauseMs: fc.constantFrom(0, 30, 100) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('confirm' as const), position }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('crash' as const), position, keptShare: fc.constantFrom(0, 0.5, 0.99) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('fail-disk' as const), position, keptShare: fc.constantFrom(0, 0.5) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('restart' as const), position }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('isolate' as const), position }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut' as const), position, other: position }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('faults' as const), drop: fc.constantFrom(0, 0.1, 0.4), duplicate: fc.constantFrom(0, 0.3), maxDelayMs: fc.constantFrom(5, 60, 60, 400) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('replace-folder' as const), position }) }
)
type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never

const emptyCoverage = { accepted: 0, leaders: 0, replaced: 0, confirmed: 0, snapshots: 0 }
let coverage = emptyCoverage

function runStep (cluster: SimulatedCluster, step: Step): void {
  const memberAt = (index: number): SimulatedMember =>
    (index === LEADER ? cluster.leader() : null) ?? cluster.members[index % cluster.members.length] as SimulatedMember
  switch (step.kind) {
    case 'run': return cluster.run(step.durationMs)
    case 'commit': {
      // Two members that both consider themselves the leader, or two operators, commit on the same base version.
      const base = cluster.checks.newestAccepted()
      cluster.propose(memberAt(LEADER), buildManifestCommand(base, `${step.content} on ${base}`))
      cluster.propose(memberAt(step.position), buildManifestCommand(base, `other on ${base}`))
      return cluster.run(step.pauseMs)
    }
    case 'confirm': {
      const isConfirmed = cluster.confirm(memberAt(step.position))
      cluster.run(200)
      if (isConfirmed()) coverage.confirmed++
      return
    }
    case 'crash': return cluster.crash(memberAt(step.position), step.keptShare)
    case 'fail-disk': return cluster.failDisk(memberAt(step.position), step.keptShare)
    case 'isolate': return cluster.isolate(memberAt(step.position))
    case 'restart': return cluster.start(memberAt(step.position))
    case 'cut': return cluster.cut(memberAt(step.position), memberAt(step.other))
    case 'heal': return cluster.heal()
    case 'faults': return cluster.setFaults(step)
    case 'replace-folder': {
      // A second folder may be lost only after the first one was replaced completely.
      if (!cluster.isWhole()) return
      cluster.wipe(memberAt(step.position))
      cluster.start(memberAt(step.position))
      coverage.replaced++
    }
  }
}

function checkSchedule (size: number, seed: number, steps: readonly Step[]): void {
  const cluster = createSimulatedCluster(size, seed)
  cluster.runUntil('the cluster forms', cluster.isWhole)
  for (const step of steps) runStep(cluster, step)
  cluster.heal()
  cluster.members.forEach(cluster.start)
  cluster.runUntil('every folder is a voter', cluster.isWhole)
  for (const [version, digest] of [...cluster.checks.acceptedDigests()]) {
    const answer = cluster.commit(buildManifestCommand(version - 1, digest))
    if (answer.kind !== 'manifest-accepted' || !answer.resent) throw new Error(`the resend of accepted manifest ${version} was answered with ${JSON.stringify(answer)}`)
  }
  const commitIndex = cluster.leader()?.controller?.view().commitIndex ?? 0
  cluster.runUntil('all members have applied everything', () => cluster.members.every((member) => (member.controller?.view().commitIndex ?? 0) >= commitIndex))
  coverage.accepted += cluster.checks.newestAccepted()
  coverage.leaders += cluster.checks.leaders()
  coverage.snapshots += cluster.members.filter((member) => member.disk.restored().snapshot !== null).length
}

for (const size of [3, 5]) {
  t.test(`${size} members have at most one leader per term and keep committed entries, accepted manifests and answers under random faults`, async (t) => {
    coverage = { ...emptyCoverage }
    fc.assert(fc.property(fc.integer(), fc.array(stepArbitrary, { minLength: 10, maxLength: 60, size: 'max' }), (seed, steps) => {
      checkSchedule(size, seed, steps)
    }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
    t.comment(`seed ${SEED}, ${RUNS} schedules: ${JSON.stringify(coverage)}`)
    for (const [caseName, count] of Object.entries(coverage)) {
      t.ok(count >= RUNS / 4, `the schedules contain enough cases of: ${caseName}`)
    }
  })
}

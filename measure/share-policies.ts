// Compares the share allocator with equal, fixed shares, and the weighted fair queue with two simpler queues.
// Runs in simulated time, without sockets. Usage: node dist/measure/share-policies.js [--seed 1] [--seconds 60]
import { Command } from 'commander'
import type { QueuePolicy } from './queue-scenario.js'
import { runQueueScenario } from './queue-scenario.js'
import type { SkewCounts, SkewResult } from './share-scenario.js'
import { eightWorkspaces, runSkewScenario } from './share-scenario.js'

const instances = 9
const load = 0.9
/** Mean intervals at which the demand of a workspace moves to other instances. */
const moveTimesMs = [2000, 10_000]
/** Demand of the first workspace of the queue comparison, as a multiple of its fair share. */
const excess = 5
const queuePolicies: QueuePolicy[] = ['fair', 'first-in-first-out', 'round-robin']

interface CommandOptions {
  seed: string
  seconds: string
}

const formatRatio = (part: number, whole: number): string => (whole === 0 ? 0 : part / whole).toFixed(5)

const sumCounts = (counts: readonly SkewCounts[], value: (count: SkewCounts) => number): number => counts.reduce((sum, count) => sum + value(count), 0)

function printShares (name: string, moveEveryMs: number, { counts, heartbeatsPerSecond }: SkewResult): void {
  const requests = sumCounts(counts, (count) => count.requests)
  const worst = Math.max(...counts.map(({ refused, requests }) => refused / requests))
  const byWorkspace = counts.map(({ workspace, refused, requests }) => `${workspace.rate}/s ${formatRatio(refused, requests)}`).join(', ')
  console.log(`shares=${name} move_ms=${moveEveryMs} requests=${requests}` +
    ` refused=${formatRatio(sumCounts(counts, (count) => count.refused), requests)} worst_workspace_refused=${worst.toFixed(5)}` +
    ` refused_by_one_bucket=${formatRatio(sumCounts(counts, (count) => count.refusedByOneBucket), requests)}` +
    ` counted_wrongful=${formatRatio(sumCounts(counts, (count) => count.countedWrongful), requests)}` +
    ` waited=${formatRatio(sumCounts(counts, (count) => count.waited), requests)}` +
    ` heartbeats_per_second=${heartbeatsPerSecond.toFixed(1)}`)
  console.log(`  refused by rate of the workspace: ${byWorkspace}`)
}

function main (): void {
  const command = new Command('share-policies')
    .option('--seed <number>', 'seed of all random choices', '1')
    .option('--seconds <number>', 'simulated seconds per run', '60')
    .parse()
  const commandOptions = command.opts<CommandOptions>()
  const seed = Number(commandOptions.seed)
  const durationMs = Number(commandOptions.seconds) * 1000
  if (!Number.isInteger(seed) || !(durationMs > 0)) command.error('seed must be a whole number and seconds a positive one')
  console.log(`seed=${seed} seconds=${durationMs / 1000} instances=${instances} load=${load}`)
  for (const moveEveryMs of moveTimesMs) {
    for (const staticParts of [null, instances]) {
      const result = runSkewScenario({ seed, instances, workspaces: eightWorkspaces, load, moveEveryMs, durationMs, staticParts })
      printShares(staticParts === null ? 'allocator' : 'equal', moveEveryMs, result)
    }
  }
  for (const policy of queuePolicies) {
    const share = runQueueScenario({ seed, policy, excess, durationMs })
    console.log(`queue=${policy} excess=${excess} worst_workspace_share=${share.toFixed(3)}`)
  }
}

main()

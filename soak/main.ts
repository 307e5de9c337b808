import { join } from 'node:path'
import { Command } from 'commander'
import type { Habit } from './planned-workload.js'
import { runSeed } from './run-seed.js'

interface CommandOptions {
  seed: string
  seeds: string
  seconds: string
  entries: string
  controls: string
  folder: string
  lend: boolean
  planned: boolean
  sessions: string
  habits: string
  keep: boolean
}

const program = new Command('soak')
  .description('injects random faults into real processes on loopback and checks the promises against what callers and databases observe')
  .option('--seed <number>', 'first seed; default: the time of day', String(Math.floor(Date.now() / 1000)))
  .option('--seeds <count>', 'number of seeds', '5')
  .option('--seconds <count>', 'time of the faults for each seed', '15')
  .option('--entries <count>', 'entry instances', '4')
  .option('--controls <count>', 'control instances', '3')
  .option('--lend', 'databases accept so few connections that instances lend them to each other', false)
  .option('--planned', 'plays planned stops of entry instances and nothing unplanned', false)
  .option('--sessions <count>', 'sessions while stops are planned', '60')
  .option('--habits <names>', 'habits of these sessions: usual, long, eager, pipelining, slow, half-closing', 'usual,usual,eager')
  .option('--folder <path>', 'settings, data and logs of seeds that broke a promise', '.soak')
  .option('--keep', 'keeps the folders of all seeds', false)

/** Runs all seeds and prints one line of JSON for each. Exits with code 1 if a promise was broken. */
async function soak (flags: CommandOptions): Promise<void> {
  let broken = 0
  const planned = flags.planned ? { planned: { sessions: Number(flags.sessions), habits: flags.habits.split(',') as Habit[] } } : {}
  for (let number = 0; number < Number(flags.seeds); number++) {
    const seed = Number(flags.seed) + number
    const result = await runSeed({ seed, durationMs: Number(flags.seconds) * 1000, entries: Number(flags.entries), controls: Number(flags.controls), lendsConnections: flags.lend, ...planned, keepsFolder: flags.keep, folder: join(flags.folder, `seed-${seed}`), network: 32 + seed % 64 })
    if (result.violations.length > 0) broken++
    console.log(JSON.stringify({ ...result, violations: result.violations.slice(0, 10), violationCount: result.violations.length }))
  }
  process.exit(broken > 0 ? 1 : 0)
}

program.action(async () => { await soak(program.opts<CommandOptions & Record<string, string>>()) })
program.parseAsync().catch((error: unknown) => {
  console.error(error)
  process.exit(2)
})

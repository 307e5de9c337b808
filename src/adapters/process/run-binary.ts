import { Command } from 'commander'
import type { z } from 'zod'
import { loadSettings } from '../../settings/load-settings.js'
import { resultCodes } from '../../types/result-code.js'

/** Exit code for bad settings. */
const EXIT_SETTINGS = 2
const EXIT_FAILED = 1

/** A running process of the system. */
export interface RunningBinary {
  /** Finishes running work and stops. */
  drain: () => Promise<void>
  reloadTls: () => void
}

export interface BinaryOptions<Schema extends z.ZodType> {
  name: string
  description: string
  schema: Schema
  start: (settings: z.output<Schema>) => Promise<RunningBinary>
}

function exitWithProblems (file: string, problems: readonly { path: string, message: string }[]): never {
  const { code, name } = resultCodes.settingsInvalid
  for (const { path, message } of problems) console.error(`${code} ${name}: ${file}: ${path === '' ? '' : `${path}: `}${message}`)
  process.exit(EXIT_SETTINGS)
}

/**
 * Runs a binary with a settings file: SIGTERM and SIGINT drain it, SIGHUP reads TLS key files again.
 * Bad settings print one line for each problem and exit with code 2.
 */
export async function runBinary<Schema extends z.ZodType> (options: BinaryOptions<Schema>): Promise<void> {
  const command = new Command(options.name).description(options.description).requiredOption('--settings <file>', 'JSON settings file')
  command.parse()
  const { settings: file } = command.opts<{ settings: string }>()
  const settings = loadSettings(file, options.schema)
  if (settings.isErr()) exitWithProblems(file, settings.error)
  let running: RunningBinary
  try {
    running = await options.start(settings.value)
  } catch (error) {
    console.error(`${options.name}: ${(error as Error).message}`)
    process.exit(EXIT_FAILED)
  }
  let stopping = false
  async function drain (): Promise<void> {
    if (stopping) return
    stopping = true
    await running.drain()
    process.exit(0)
  }
  process.on('SIGTERM', () => { drain() })
  process.on('SIGINT', () => { drain() })
  process.on('SIGHUP', running.reloadTls)
}

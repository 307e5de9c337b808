import { Command } from 'commander'
import type { z } from 'zod'
import { loadSettings } from '../../settings/load-settings.js'
import { resultCodes } from '../../types/result-code.js'

/** Exit code for invalid settings. */
const EXIT_INVALID_SETTINGS = 2
const EXIT_START_FAILED = 1

/** The work of a started process. */
export interface RunningBinary {
  /** Finishes the work in flight and stops. */
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
  process.exit(EXIT_INVALID_SETTINGS)
}

/**
 * Loads the settings file of a binary and runs it. SIGTERM and SIGINT drain it, SIGHUP reloads its TLS key files.
 * Prints one line for each problem of invalid settings and exits with code 2; exits with code 1 when the start fails.
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
    process.exit(EXIT_START_FAILED)
  }
  let isStopping = false
  async function drain (): Promise<void> {
    if (isStopping) return
    isStopping = true
    await running.drain()
    process.exit(0)
  }
  process.on('SIGTERM', () => { drain() })
  process.on('SIGINT', () => { drain() })
  process.on('SIGHUP', () => {
    try {
      running.reloadTls()
    } catch (error) {
      // The signal may come while a file is being replaced. An uncaught error would end the process with all its requests.
      console.error(`${resultCodes.settingsInvalid.code} ${resultCodes.settingsInvalid.name}: the TLS files can not be used, the former ones stay in use: ${(error as Error).message}`)
    }
  })
}

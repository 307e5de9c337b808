import { Command, CommanderError, InvalidArgumentError, Option } from 'commander'
import { createControlRequestSender } from '../adapters/http/send-to-control.js'
import { LINE_WIDTH_COLUMNS, wrapLine } from '../reports/text-lines.js'
import type { ReportName } from '../types/operator-report.js'
import { requestFromLeader } from './request-from-leader.js'
import type { CommandOutput } from './command-output.js'
import type { ConnectFlags } from './connect-options.js'
import { resolveConnectOptions } from './connect-options.js'
import type { ExitCode } from './exit-code.js'
import { exitCodes } from './exit-code.js'
import type { SettingsKind } from './local-commands.js'
import { checkSettingsFile, createKey, settingsKinds } from './local-commands.js'
import type { RequestLeader } from './manifest-commands.js'
import { checkManifestFile, commitManifestFile, diffManifestFile, requestManifestInForce } from './manifest-commands.js'
import { requestReportOutput, writeBurnPage } from './report-commands.js'

/** Longer than a control instance waits for a majority, so that the command receives its answer. */
const ANSWER_TIMEOUT_MS = 10_000
const REPORT_NAMES: ReportName[] = ['in-force', 'burn', 'workspaces', 'failure-domains', 'incidents']

/** What a command needs of its process. */
export interface CommandEnvironment {
  /** Writes to standard output. */
  out: (text: string) => void
  /** Writes to standard error. */
  error: (text: string) => void
  /** Waits between rounds over the control instances. */
  pause: (durationMs: number) => Promise<void>
}

interface CommonFlags extends ConnectFlags { json?: boolean }
type RunCommand = () => CommandOutput | Promise<CommandOutput>

function parseVersion (text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text)
  throw new InvalidArgumentError('Expected a version number.')
}

const appendAddress = (value: string, previous: string[] | undefined): string[] => [...previous ?? [], value]

function addJsonOption (command: Command): Command {
  return command.option('--json', 'print JSON')
}

function addControlOptions (command: Command): Command {
  return addJsonOption(command)
    .option('--control <address>', 'control instance (repeatable)', appendAddress)
    .option('--credential-file <file>', 'file with the credential')
    .option('--authority-file <file>', 'PEM file, for HTTPS')
    .option('--settings <file>', 'operator settings file')
}

/** Runs a command that sends requests to control instances, with the connection options of its command line. */
async function runWithControl (flags: ConnectFlags, { pause }: CommandEnvironment, run: (requestLeader: RequestLeader) => Promise<CommandOutput>): Promise<CommandOutput> {
  const options = resolveConnectOptions(flags)
  if (options.isErr()) return options.error
  const { addresses, credential, authority } = options.value
  const sender = createControlRequestSender({ credential, authority, answerTimeoutMs: ANSWER_TIMEOUT_MS })
  try {
    return await run(async (request) => await requestFromLeader({ addresses, send: sender.send, pause }, request))
  } finally {
    await sender.close()
  }
}

/**
 * Runs one command line.
 * @param args - arguments without the program name
 * @returns the exit code, as docs/operators.md lists it
 */
export async function runCommandLine (args: readonly string[], environment: CommandEnvironment): Promise<ExitCode> {
  let exitCode: ExitCode = exitCodes.done
  const isJsonRequested = args.includes('--json')

  async function print (flags: CommonFlags, run: RunCommand): Promise<void> {
    const output = await run()
    exitCode = output.exitCode
    if (flags.json === true) {
      environment.out(JSON.stringify({ exitCode, ...output.data }) + '\n')
      return
    }
    const write = exitCode === exitCodes.done ? environment.out : environment.error
    write(output.lines.map((line) => line + '\n').join(''))
  }

  const program = new Command('catkinrelay')
    .description('Commits manifests and reads reports.')
    .exitOverride()
    .configureHelp({ helpWidth: LINE_WIDTH_COLUMNS })
    .configureOutput({ writeOut: environment.out, writeErr: environment.error, getOutHelpWidth: () => LINE_WIDTH_COLUMNS, getErrHelpWidth: () => LINE_WIDTH_COLUMNS, outputError: (text, write) => { if (!isJsonRequested) write(wrapLine(text.trim()).join('\n') + '\n') } })

  const manifest = program.command('manifest').description('the configuration of the deployment')
  addJsonOption(manifest.command('check <file>').description('check a file without a control instance'))
    .action(async (file: string, flags: CommonFlags) => { await print(flags, () => checkManifestFile(file)) })
  addControlOptions(manifest.command('diff <file>').description('compare a file with the manifest in force'))
    .action(async (file: string, flags: CommonFlags) => { await print(flags, () => runWithControl(flags, environment, (requestLeader) => diffManifestFile(file, requestLeader))) })
  addControlOptions(manifest.command('commit <file>').description('commit a file; safe to repeat')
    .requiredOption('--base <version>', 'version that the file replaces', parseVersion))
    .action(async (file: string, flags: CommonFlags & { base: number }) => { await print(flags, () => runWithControl(flags, environment, (requestLeader) => commitManifestFile(file, flags.base, requestLeader))) })
  addControlOptions(manifest.command('show').description('show the manifest in force'))
    .action(async (flags: CommonFlags) => { await print(flags, () => runWithControl(flags, environment, requestManifestInForce)) })

  addControlOptions(program.command('status').description('overview of the deployment'))
    .action(async (flags: CommonFlags) => { await print(flags, () => runWithControl(flags, environment, (requestLeader) => requestReportOutput('status', requestLeader))) })

  const report = program.command('report').description('short reports')
  for (const name of REPORT_NAMES) {
    const command = addControlOptions(report.command(name).description(`report ${name}`))
    if (name === 'burn') command.option('--html <file>', 'write an HTML page')
    command.action(async (flags: CommonFlags & { html?: string }) => {
      const { html } = flags
      await print(flags, () => runWithControl(flags, environment, (requestLeader) => html === undefined ? requestReportOutput(name, requestLeader) : writeBurnPage(html, requestLeader)))
    })
  }

  addJsonOption(program.command('key').description('keys of workspaces').command('new').description('make a key and its digest'))
    .action(async (flags: CommonFlags) => { await print(flags, () => createKey()) })
  addJsonOption(program.command('settings').description('settings of instances').command('check <file>').description('check a settings file')
    .addOption(new Option('--kind <kind>', 'kind of instance').choices(settingsKinds).makeOptionMandatory()))
    .action(async (file: string, flags: CommonFlags & { kind: SettingsKind }) => { await print(flags, () => checkSettingsFile(file, flags.kind)) })

  try {
    await program.parseAsync(args, { from: 'user' })
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error
    if (error.exitCode === 0) return exitCodes.done
    if (isJsonRequested) environment.out(JSON.stringify({ exitCode: exitCodes.badInput, error: 'usage', message: error.message }) + '\n')
    return exitCodes.badInput
  }
  return exitCode
}

import { Command, CommanderError, InvalidArgumentError, Option } from 'commander'
import { createControlSender } from '../adapters/http/send-to-control.js'
import { WIDTH, wrapLine } from '../reports/text-lines.js'
import type { ReportName } from '../types/operator-report.js'
import { askControl } from './ask-control.js'
import type { CommandOutput } from './command-output.js'
import type { ConnectFlags } from './connect-options.js'
import { resolveConnectOptions } from './connect-options.js'
import type { ExitCode } from './exit-code.js'
import { exitCodes } from './exit-code.js'
import type { SettingsKind } from './local-commands.js'
import { checkSettingsCommand, newKeyCommand, settingsKinds } from './local-commands.js'
import type { Ask } from './manifest-commands.js'
import { checkCommand, commitCommand, diffCommand, showCommand } from './manifest-commands.js'
import { burnPageCommand, reportCommand } from './report-commands.js'

/** Longer than a control instance waits for a majority, so that its answer arrives. */
const ANSWER_MS = 10_000
const REPORT_NAMES: ReportName[] = ['in-force', 'burn', 'workspaces', 'failure-domains', 'incidents']

/** What a command line needs of its process. */
export interface Surroundings {
  /** Writes to standard output. */
  out: (text: string) => void
  /** Writes to standard error. */
  error: (text: string) => void
  /** Waits between rounds over the control instances. */
  pause: (durationMs: number) => Promise<void>
}

interface CommonFlags extends ConnectFlags { json?: boolean }
type Run = () => CommandOutput | Promise<CommandOutput>

function parseVersion (text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text)
  throw new InvalidArgumentError('Expected a version number.')
}

const collect = (value: string, former: string[] | undefined): string[] => [...former ?? [], value]

function withJson (command: Command): Command {
  return command.option('--json', 'print JSON')
}

function withControl (command: Command): Command {
  return withJson(command)
    .option('--control <address>', 'control instance (repeatable)', collect)
    .option('--credential-file <file>', 'file with the credential')
    .option('--authority-file <file>', 'PEM file, for HTTPS')
    .option('--settings <file>', 'operator settings file')
}

/** Asks control instances with the options of one command line. */
async function connected (flags: ConnectFlags, { pause }: Surroundings, run: (ask: Ask) => Promise<CommandOutput>): Promise<CommandOutput> {
  const options = resolveConnectOptions(flags)
  if (options.isErr()) return options.error
  const { addresses, credential, authority } = options.value
  const sender = createControlSender({ credential, authority, answerMs: ANSWER_MS })
  try {
    return await run(async (request) => await askControl({ addresses, send: sender.send, pause }, request))
  } finally {
    await sender.close()
  }
}

/**
 * Runs one command line.
 * @param args - arguments without the program name
 * @returns the exit code, see docs/operators.md
 */
export async function runCommandLine (args: readonly string[], surroundings: Surroundings): Promise<ExitCode> {
  let exitCode: ExitCode = exitCodes.done
  const wantsJson = args.includes('--json')

  async function print (flags: CommonFlags, run: Run): Promise<void> {
    const output = await run()
    exitCode = output.exitCode
    if (flags.json === true) {
      surroundings.out(JSON.stringify({ exitCode, ...output.data }) + '\n')
      return
    }
    const write = exitCode === exitCodes.done ? surroundings.out : surroundings.error
    write(output.lines.map((line) => line + '\n').join(''))
  }

  const program = new Command('catkinrelay')
    .description('Commits manifests and reads reports.')
    .exitOverride()
    .configureHelp({ helpWidth: WIDTH })
    .configureOutput({ writeOut: surroundings.out, writeErr: surroundings.error, getOutHelpWidth: () => WIDTH, getErrHelpWidth: () => WIDTH, outputError: (text, write) => { if (!wantsJson) write(wrapLine(text.trim()).join('\n') + '\n') } })

  const manifest = program.command('manifest').description('the configuration of the deployment')
  withJson(manifest.command('check <file>').description('check a file without a control instance'))
    .action(async (file: string, flags: CommonFlags) => { await print(flags, () => checkCommand(file)) })
  withControl(manifest.command('diff <file>').description('compare a file with the manifest in force'))
    .action(async (file: string, flags: CommonFlags) => { await print(flags, () => connected(flags, surroundings, (ask) => diffCommand(file, ask))) })
  withControl(manifest.command('commit <file>').description('commit a file; safe to repeat')
    .requiredOption('--base <version>', 'version that the file replaces', parseVersion))
    .action(async (file: string, flags: CommonFlags & { base: number }) => { await print(flags, () => connected(flags, surroundings, (ask) => commitCommand(file, flags.base, ask))) })
  withControl(manifest.command('show').description('show the manifest in force'))
    .action(async (flags: CommonFlags) => { await print(flags, () => connected(flags, surroundings, showCommand)) })

  withControl(program.command('status').description('overview of the deployment'))
    .action(async (flags: CommonFlags) => { await print(flags, () => connected(flags, surroundings, (ask) => reportCommand('status', ask))) })

  const report = program.command('report').description('short reports')
  for (const name of REPORT_NAMES) {
    const command = withControl(report.command(name).description(`report ${name}`))
    if (name === 'burn') command.option('--html <file>', 'write an HTML page')
    command.action(async (flags: CommonFlags & { html?: string }) => {
      const { html } = flags
      await print(flags, () => connected(flags, surroundings, (ask) => html === undefined ? reportCommand(name, ask) : burnPageCommand(html, ask)))
    })
  }

  withJson(program.command('key').description('keys of workspaces').command('new').description('make a key and its digest'))
    .action(async (flags: CommonFlags) => { await print(flags, () => newKeyCommand()) })
  withJson(program.command('settings').description('settings of instances').command('check <file>').description('check a settings file')
    .addOption(new Option('--kind <kind>', 'kind of instance').choices(settingsKinds).makeOptionMandatory()))
    .action(async (file: string, flags: CommonFlags & { kind: SettingsKind }) => { await print(flags, () => checkSettingsCommand(file, flags.kind)) })

  try {
    await program.parseAsync(args, { from: 'user' })
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error
    if (error.exitCode === 0) return exitCodes.done
    if (wantsJson) surroundings.out(JSON.stringify({ exitCode: exitCodes.badInput, error: 'usage', message: error.message }) + '\n')
    return exitCodes.badInput
  }
  return exitCode
}

import { writeFileSync } from 'node:fs'
import { burnPage } from '../reports/burn-page.js'
import { reportText } from '../reports/report-text.js'
import { wrapLine } from '../reports/text-lines.js'
import type { BurnReport, OperatorReport, ReportName } from '../types/operator-report.js'
import type { CommandOutput } from './command-output.js'
import { exitCodes } from './exit-code.js'
import { failedAnswer } from './failed-answer.js'
import type { Ask } from './manifest-commands.js'

async function readReport (name: ReportName | 'status', ask: Ask): Promise<{ report: OperatorReport, proven: boolean } | CommandOutput> {
  const answer = await ask({ method: 'GET', path: name === 'status' ? '/v1/status' : `/v1/reports/${name}` })
  if (answer.kind === 'answered') return { report: answer.body as OperatorReport, proven: true }
  if (answer.kind === 'unproven') return { report: answer.body as OperatorReport, proven: false }
  return failedAnswer(answer)
}

/** Prints a report. One that is not proven is printed too, with the exit code for a leader that was not reached. */
export async function reportCommand (name: ReportName | 'status', ask: Ask): Promise<CommandOutput> {
  const read = await readReport(name, ask)
  if ('exitCode' in read) return read
  return { exitCode: read.proven ? exitCodes.done : exitCodes.noLeader, lines: reportText(read.report), data: { ...read.report } }
}

/** Writes the burn report as an HTML page. */
export async function burnPageCommand (file: string, ask: Ask): Promise<CommandOutput> {
  const read = await readReport('burn', ask)
  if ('exitCode' in read) return read
  try {
    writeFileSync(file, burnPage(read.report as BurnReport))
  } catch (error) {
    const { message } = error as Error
    return { exitCode: exitCodes.badInput, lines: wrapLine(message), data: { error: 'file-not-written', message } }
  }
  return { exitCode: read.proven ? exitCodes.done : exitCodes.noLeader, lines: wrapLine(`Written to ${file}`), data: { file } }
}

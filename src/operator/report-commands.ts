import { writeFileSync } from 'node:fs'
import { renderBurnPage } from '../reports/render-burn-page.js'
import { formatReport } from '../reports/report-text.js'
import { wrapLine } from '../reports/text-lines.js'
import type { BurnReport, OperatorReport, ReportName } from '../types/operator-report.js'
import type { CommandOutput } from './command-output.js'
import { exitCodes } from './exit-code.js'
import { buildFailureOutput } from './failure-output.js'
import type { RequestLeader } from './manifest-commands.js'

async function readReport (name: ReportName | 'status', requestLeader: RequestLeader): Promise<{ report: OperatorReport, proven: boolean } | CommandOutput> {
  const answer = await requestLeader({ method: 'GET', path: name === 'status' ? '/v1/status' : `/v1/reports/${name}` })
  if (answer.kind === 'answered') return { report: answer.body as OperatorReport, proven: true }
  if (answer.kind === 'unproven') return { report: answer.body as OperatorReport, proven: false }
  return buildFailureOutput(answer)
}

/** Prints a report. Without a leadership confirmation it is printed too, with the exit code `noLeader`. */
export async function showReport (name: ReportName | 'status', requestLeader: RequestLeader): Promise<CommandOutput> {
  const result = await readReport(name, requestLeader)
  if ('exitCode' in result) return result
  return { exitCode: result.proven ? exitCodes.done : exitCodes.noLeader, lines: formatReport(result.report), data: { ...result.report } }
}

/** Writes the burn report as an HTML page. */
export async function writeBurnPage (file: string, requestLeader: RequestLeader): Promise<CommandOutput> {
  const result = await readReport('burn', requestLeader)
  if ('exitCode' in result) return result
  try {
    writeFileSync(file, renderBurnPage(result.report as BurnReport))
  } catch (error) {
    const { message } = error as Error
    return { exitCode: exitCodes.badInput, lines: wrapLine(message), data: { error: 'file-not-written', message } }
  }
  return { exitCode: result.proven ? exitCodes.done : exitCodes.noLeader, lines: wrapLine(`Written to ${file}`), data: { file } }
}

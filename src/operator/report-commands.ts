import { writeFileSync } from 'node:fs'
import { renderBurnPage } from '../reports/render-burn-page.js'
import { formatReport } from '../reports/report-text.js'
import { wrapLine } from '../reports/text-lines.js'
import type { BurnReport, OperatorReport, ReportName } from '../types/operator-report.js'
import type { CommandOutput } from './command-output.js'
import { exitCodes } from './exit-code.js'
import { buildFailureOutput } from './failure-output.js'
import type { RequestLeader } from './manifest-commands.js'

async function requestReport (name: ReportName | 'status', requestLeader: RequestLeader): Promise<{ report: OperatorReport, proven: boolean } | CommandOutput> {
  const answer = await requestLeader({ method: 'GET', path: name === 'status' ? '/v1/status' : `/v1/reports/${name}` })
  if (answer.kind === 'answered') return { report: answer.body as OperatorReport, proven: true }
  if (answer.kind === 'unproven') return { report: answer.body as OperatorReport, proven: false }
  return buildFailureOutput(answer)
}

/**
 * Requests the named report, such as `status` or `burn`, from the control leader.
 * @returns the output that shows the report. A report without a leadership confirmation is shown too, with the exit code `noLeader`.
 */
export async function requestReportOutput (name: ReportName | 'status', requestLeader: RequestLeader): Promise<CommandOutput> {
  const result = await requestReport(name, requestLeader)
  if ('exitCode' in result) return result
  return { exitCode: result.proven ? exitCodes.done : exitCodes.noLeader, lines: formatReport(result.report), data: { ...result.report } }
}

/** Requests the burn report from the control leader and writes it to a file as an HTML page. */
export async function writeBurnPage (file: string, requestLeader: RequestLeader): Promise<CommandOutput> {
  const result = await requestReport('burn', requestLeader)
  if ('exitCode' in result) return result
  try {
    writeFileSync(file, renderBurnPage(result.report as BurnReport))
  } catch (error) {
    const { message } = error as Error
    return { exitCode: exitCodes.badInput, lines: wrapLine(message), data: { error: 'file-not-written', message } }
  }
  return { exitCode: result.proven ? exitCodes.done : exitCodes.noLeader, lines: wrapLine(`Written to ${file}`), data: { file } }
}

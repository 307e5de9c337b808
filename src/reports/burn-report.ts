import type { BurnReport, BurnRow } from '../types/operator-report.js'
import { formatReportHead, wrapLine } from './text-lines.js'

/** Burn above which the error budget is used up before the end of its period. */
const SUSTAINABLE_BURN = 1

/** @returns the highest burn among the windows of a row; -1: no window has requests */
export function findWorstBurn (row: BurnRow): number {
  return row.windows.reduce((worst, { burn }) => Math.max(worst, burn ?? -1), -1)
}

/** @returns the rows, highest burn first */
export function sortBurnRows (rows: readonly BurnRow[]): BurnRow[] {
  return [...rows].sort((left, right) => findWorstBurn(right) - findWorstBurn(left) || left.workspace.localeCompare(right.workspace))
}

/** @returns a burn as text. Greater values have fewer decimals, so that a row fits the screen of a phone. */
export function formatBurn (burn: number | null): string {
  if (burn === null) return '-'
  if (burn >= 100) return burn.toFixed(0)
  return burn >= 10 ? burn.toFixed(1) : burn.toFixed(2)
}

function formatRow (row: BurnRow): string[] {
  const values = row.windows.map(({ window, burn }) => `${window} ${formatBurn(burn)}`).join(', ')
  const mark = findWorstBurn(row) > SUSTAINABLE_BURN ? 'OVER ' : ''
  return [...wrapLine(`${mark}${row.workspace}: ${row.objective}`), ...wrapLine(`  ${values}`)]
}

/** @returns the report as text, highest burn first */
export function formatBurnReport (report: BurnReport): string[] {
  const lines = formatReportHead(report)
  if (!report.freshness.proven) return lines
  lines.push(...wrapLine('Burn of the error budget; 1 uses it up exactly at the end of its period. -: no requests.'))
  lines.push(...sortBurnRows(report.rows).flatMap(formatRow))
  if (report.lostIncrements > 0) lines.push(...wrapLine(`INCOMPLETE: ${report.lostIncrements} increments of counts were lost`))
  if (report.withoutObjectives.length > 0) lines.push(...wrapLine(`No objectives: ${report.withoutObjectives.join(', ')}`))
  return lines
}

import type { BurnReport, BurnRow } from '../types/operator-report.js'
import { headLines, wrapLine } from './text-lines.js'

/** Burn above which the budget ends before its period does. */
const EVEN_BURN = 1

/** @returns the highest burn of a row over its windows; -1 without requests */
export function worstBurn (row: BurnRow): number {
  return row.windows.reduce((worst, { burn }) => Math.max(worst, burn ?? -1), -1)
}

/** @returns rows with the highest burn first */
export function orderBurnRows (rows: readonly BurnRow[]): BurnRow[] {
  return [...rows].sort((left, right) => worstBurn(right) - worstBurn(left) || left.workspace.localeCompare(right.workspace))
}

/** @returns a burn as text with a precision that suits a phone */
export function burnText (burn: number | null): string {
  if (burn === null) return '-'
  if (burn >= 100) return burn.toFixed(0)
  return burn >= 10 ? burn.toFixed(1) : burn.toFixed(2)
}

function rowLines (row: BurnRow): string[] {
  const values = row.windows.map(({ window, burn }) => `${window} ${burnText(burn)}`).join(', ')
  const mark = worstBurn(row) > EVEN_BURN ? 'OVER ' : ''
  return [...wrapLine(`${mark}${row.workspace}: ${row.objective}`), ...wrapLine(`  ${values}`)]
}

/** @returns the report as text, highest burn first */
export function burnLines (report: BurnReport): string[] {
  const lines = headLines(report)
  if (!report.freshness.proven) return lines
  lines.push(...wrapLine('Burn of the error budget; 1 uses it up exactly at the end of its period. -: no requests.'))
  lines.push(...orderBurnRows(report.rows).flatMap(rowLines))
  if (report.lostIncrements > 0) lines.push(...wrapLine(`INCOMPLETE: ${report.lostIncrements} increments of counts were lost`))
  if (report.withoutObjectives.length > 0) lines.push(...wrapLine(`No objectives: ${report.withoutObjectives.join(', ')}`))
  return lines
}

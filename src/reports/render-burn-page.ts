import type { BurnReport, BurnRow } from '../types/operator-report.js'
import { renderBurnPlot } from './render-burn-plot.js'
import { formatBurn, sortBurnRows, findWorstBurn } from './burn-report.js'
import { escapeHtml } from './escape-html.js'
import { formatFreshness } from './text-lines.js'

const STYLE = `
:root { color-scheme: light dark }
body { font: 16px/1.4 system-ui, sans-serif; margin: 0 auto; padding: 12px; max-width: 40em; overflow-wrap: anywhere }
h1 { font-size: 1.3em; margin: 0 0 .3em }
h2 { font-size: 1em; margin: 0 }
section { border-top: 1px solid #8888; padding: 10px 0 }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums }
th, td { text-align: right; font-weight: normal; padding: 2px 0 }
th { opacity: .75; font-size: .85em }
svg { display: block; width: 100%; height: auto }
.fill { fill: #4a7dbd; opacity: .3 }
.stroke { fill: none; stroke: #4a7dbd; stroke-width: 1.5; stroke-linecap: round }
.even { stroke: #c0392b; stroke-dasharray: 4 3 }
.over, .unproven { color: #c0392b; font-weight: bold }
`

function formatTarget ({ objective, target, limitMs }: BurnRow): string {
  const share = `${Number((target * 100).toFixed(4))}%`
  return limitMs === null ? `${objective} ${share}` : `${objective} ${share} within ${limitMs} ms`
}

function renderRow (row: BurnRow): string {
  const isOverBudget = findWorstBurn(row) > 1
  const label = escapeHtml(`Burn per hour over the last 3 days: ${row.workspace}, ${row.objective}`)
  const headings = row.windows.map(({ window }) => `<th scope="col">${escapeHtml(window)}</th>`).join('')
  const burns = row.windows.map(({ burn }) => `<td${burn !== null && burn > 1 ? ' class="over"' : ''}>${escapeHtml(formatBurn(burn))}</td>`).join('')
  const counts = row.windows.map(({ bad, total }) => `<td>${bad}/${total}</td>`).join('')
  return `<section>
<h2>${isOverBudget ? '<span class="over">OVER</span> ' : ''}${escapeHtml(row.workspace)}</h2>
<div>${escapeHtml(formatTarget(row))}</div>
<table><thead><tr>${headings}</tr></thead><tbody><tr>${burns}</tr><tr>${counts}</tr></tbody></table>
${renderBurnPlot(row.history, label)}
</section>`
}

function renderBody (report: BurnReport): string {
  const head = `<p${report.freshness.proven ? '' : ' class="unproven"'}>${escapeHtml(formatFreshness(report.freshness))}</p>
<h1>Error budget burn</h1>
<p>By ${escapeHtml(report.madeBy)} at ${escapeHtml(report.madeAt)}</p>`
  if (!report.freshness.proven) return head
  const lost = report.lostIncrements === 0 ? '' : `<p class="over">INCOMPLETE: ${report.lostIncrements} increments of counts were lost</p>`
  const without = report.withoutObjectives.length === 0 ? '' : `<section>No objectives: ${escapeHtml(report.withoutObjectives.join(', '))}</section>`
  return `${head}
${lost}<p>A burn of 1 (dashed) uses up the budget exactly at the end of its period. Second row: bad requests of all.</p>
${sortBurnRows(report.rows).map(renderRow).join('\n')}
${without}`
}

/** @returns the burn report as a self-contained HTML page, which loads no other resource and runs no script */
export function renderBurnPage (report: BurnReport): string {
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>catkinrelay: error budget burn</title>
<style>${STYLE}</style>
</head>
<body>
${renderBody(report)}
</body>
</html>
`
}

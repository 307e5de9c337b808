import type { BurnReport } from '../types/operator-report.js'
import { burnLines } from './burn-report.js'
import { escapeHtml } from './escape-html.js'

/** @returns the burn report as one HTML page that loads nothing */
export function burnPage (report: BurnReport): string {
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1"><title>catkinrelay burn</title></head>
<body><pre>${escapeHtml(burnLines(report).join('\n'))}</pre></body></html>
`
}

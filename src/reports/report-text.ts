import type { OperatorReport } from '../types/operator-report.js'
import { formatBurnReport } from './burn-report.js'
import { formatFailureDomainsReport } from './failure-domains-report.js'
import { formatInForceReport } from './in-force-report.js'
import { formatIncidentsReport } from './incidents-report.js'
import { formatStatusReport } from './status-report.js'
import { formatWorkspacesReport } from './workspaces-report.js'

/** @returns any report as lines of text that fit the screen of a phone */
export function formatReport (report: OperatorReport): string[] {
  switch (report.report) {
    case 'in-force': return formatInForceReport(report)
    case 'burn': return formatBurnReport(report)
    case 'workspaces': return formatWorkspacesReport(report)
    case 'failure-domains': return formatFailureDomainsReport(report)
    case 'incidents': return formatIncidentsReport(report)
    case 'status': return formatStatusReport(report)
  }
}

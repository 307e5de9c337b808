import type { OperatorReport } from '../types/operator-report.js'
import { burnLines } from './burn-report.js'
import { failureDomainsText } from './failure-domains-report.js'
import { inForceText } from './in-force-report.js'
import { incidentsText } from './incidents-report.js'
import { statusText } from './status-report.js'
import { workspacesText } from './workspaces-report.js'

/** @returns any report as lines of text for a phone */
export function reportText (report: OperatorReport): string[] {
  switch (report.report) {
    case 'in-force': return inForceText(report)
    case 'burn': return burnLines(report)
    case 'workspaces': return workspacesText(report)
    case 'failure-domains': return failureDomainsText(report)
    case 'incidents': return incidentsText(report)
    case 'status': return statusText(report)
  }
}

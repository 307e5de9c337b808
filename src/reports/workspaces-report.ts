import type { ReportHead, WorkspaceRow, WorkspacesReport } from '../types/operator-report.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { formatReportHead, wrapLine } from './text-lines.js'

/** Builds the report on the workspaces of the committed manifest, with the ids of their keys. It is empty unless the head states a leadership confirmation. */
export function buildWorkspacesReport (head: ReportHead, state: ReplicatedState): WorkspacesReport {
  const { proven } = head.freshness
  const manifest = proven ? state.manifest : null
  const workspaces = (manifest?.workspaces ?? []).map(({ id, group, rate, burst, weight, keys }): WorkspaceRow => ({
    workspace: id,
    group,
    rate,
    burst,
    weight,
    keys: keys.map((key) => key.id),
    routes: (manifest?.routes ?? []).filter((route) => route.workspace === id).map(({ name, open }) => ({ name, open }))
  }))
  return { report: 'workspaces', ...head, manifestVersion: proven ? state.manifestVersion : null, workspaces }
}

function formatWorkspace ({ workspace, group, rate, burst, weight, keys, routes }: WorkspaceRow): string[] {
  const openRoutes = routes.filter((route) => route.open).map((route) => route.name)
  return [
    ...wrapLine(workspace),
    ...wrapLine(`  group ${group}, weight ${weight}`),
    ...wrapLine(`  ${rate}/s, burst ${burst}`),
    ...wrapLine(keys.length === 0 ? '  NO KEYS' : `  keys: ${keys.join(', ')}`),
    ...(openRoutes.length === 0 ? [] : wrapLine(`  open routes: ${openRoutes.join(', ')}`))
  ]
}

/** @returns the report as lines of text; workspaces without keys come first */
export function formatWorkspacesReport (report: WorkspacesReport): string[] {
  const lines = formatReportHead(report)
  if (report.manifestVersion === null) return lines
  const ordered = [...report.workspaces].sort((left, right) => Math.min(left.keys.length, 1) - Math.min(right.keys.length, 1))
  return [...lines, ...wrapLine(`Manifest version ${report.manifestVersion}: ${ordered.length} workspaces`), ...ordered.flatMap(formatWorkspace)]
}

import type { ReportHead, WorkspaceRow, WorkspacesReport } from '../types/operator-report.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { headLines, wrapLine } from './text-lines.js'

/** @returns the workspaces of the committed manifest, keys by id only */
export function workspacesReport (head: ReportHead, state: ReplicatedState): WorkspacesReport {
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

function workspaceLines ({ workspace, group, rate, burst, weight, keys, routes }: WorkspaceRow): string[] {
  const open = routes.filter((route) => route.open).map((route) => route.name)
  return [
    ...wrapLine(workspace),
    ...wrapLine(`  group ${group}, weight ${weight}`),
    ...wrapLine(`  ${rate}/s, burst ${burst}`),
    ...wrapLine(keys.length === 0 ? '  NO KEYS' : `  keys: ${keys.join(', ')}`),
    ...(open.length === 0 ? [] : wrapLine(`  open routes: ${open.join(', ')}`))
  ]
}

/** @returns the report as text; workspaces without keys come first */
export function workspacesText (report: WorkspacesReport): string[] {
  const lines = headLines(report)
  if (report.manifestVersion === null) return lines
  const ordered = [...report.workspaces].sort((left, right) => Math.min(left.keys.length, 1) - Math.min(right.keys.length, 1))
  return [...lines, ...wrapLine(`Manifest version ${report.manifestVersion}: ${ordered.length} workspaces`), ...ordered.flatMap(workspaceLines)]
}

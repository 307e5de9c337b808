import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Manifest } from '../types/manifest.js'
import type { LineOf } from '../utils/parse-json.js'
import type { CheckProblem } from './check-problem.js'
import { problemsOf, splitPath } from './check-problem.js'
import { manifestSchema } from './manifest-schema.js'

function findRepeated (values: readonly string[], pathOf: (index: number) => string): CheckProblem[] {
  const seen = new Map<string, number>()
  const problems: CheckProblem[] = []
  values.forEach((value, index) => {
    const first = seen.get(value)
    if (first === undefined) {
      seen.set(value, index)
      return
    }
    problems.push({ path: pathOf(index), message: `repeats ${pathOf(first)}` })
  })
  return problems
}

function findUnknown (values: readonly string[], known: readonly string[], kind: string, pathOf: (index: number) => string): CheckProblem[] {
  const names = new Set(known)
  return values.flatMap((value, index) => names.has(value) ? [] : [{ path: pathOf(index), message: `there is no ${kind} ${value}` }])
}

/**
 * Checks the references between the parts of a manifest.
 * @returns every name that is repeated or refers to nothing
 */
export function findManifestProblems (manifest: Manifest): CheckProblem[] {
  const { failureDomains, groups, workspaces, routes, endpoints = [] } = manifest
  const keys = workspaces.flatMap((workspace, workspaceIndex) => workspace.keys.map((key, keyIndex) => ({ key, path: `workspaces[${workspaceIndex}].keys[${keyIndex}]` })))
  return [
    ...findRepeated(failureDomains.map((domain) => domain.id), (index) => `failureDomains[${index}].id`),
    ...findRepeated(groups.map((group) => group.id), (index) => `groups[${index}].id`),
    ...findRepeated(workspaces.map((workspace) => workspace.id), (index) => `workspaces[${index}].id`),
    ...findRepeated(routes.map((route) => route.name), (index) => `routes[${index}].name`),
    ...findRepeated(keys.map(({ key }) => key.id), (index) => `${keys[index]?.path}.id`),
    ...findRepeated(keys.map(({ key }) => key.digest), (index) => `${keys[index]?.path}.digest`),
    ...findUnknown(workspaces.map((workspace) => workspace.group), groups.map((group) => group.id), 'group', (index) => `workspaces[${index}].group`),
    ...findRepeated(endpoints.map((endpoint) => `${endpoint.name} ${endpoint.path}`), (index) => `endpoints[${index}].name`),
    ...findUnknown(endpoints.map((endpoint) => endpoint.group), groups.map((group) => group.id), 'group', (index) => `endpoints[${index}].group`),
    ...findUnknown(routes.map((route) => route.workspace), workspaces.map((workspace) => workspace.id), 'workspace', (index) => `routes[${index}].workspace`)
  ]
}

/**
 * Checks a parsed manifest.
 * @param document - any JSON value
 * @param lineOf - finds lines in the file that the document was read from
 * @returns the manifest with defaults filled in, or every problem found
 */
export function checkManifest (document: unknown, lineOf?: LineOf): Result<Manifest, CheckProblem[]> {
  const parsed = manifestSchema.safeParse(document)
  if (!parsed.success) return err(problemsOf(parsed.error.issues, lineOf))
  const problems = findManifestProblems(parsed.data)
  if (problems.length === 0) return ok(parsed.data)
  return err(lineOf === undefined ? problems : problems.map((problem) => ({ ...problem, line: lineOf(splitPath(problem.path)) })))
}

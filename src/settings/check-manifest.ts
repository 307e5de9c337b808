import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Manifest } from '../types/manifest.js'
import type { LineOf } from '../utils/parse-json.js'
import type { CheckProblem } from './check-problem.js'
import { toCheckProblems, parsePath } from './check-problem.js'
import { manifestSchema } from './manifest-schema.js'

function findDuplicates (values: readonly string[], pathOf: (index: number) => string): CheckProblem[] {
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

function findUnknownReferences (values: readonly string[], known: readonly string[], kind: string, pathOf: (index: number) => string): CheckProblem[] {
  const names = new Set(known)
  return values.flatMap((value, index) => names.has(value) ? [] : [{ path: pathOf(index), message: `there is no ${kind} ${value}` }])
}

/**
 * Checks that the names, key ids and key digests in a manifest are unique and that each reference names an existing part.
 * @returns one problem for each repeated value and each unknown reference
 */
export function findManifestProblems (manifest: Manifest): CheckProblem[] {
  const { failureDomains, groups, workspaces, routes, endpoints = [] } = manifest
  const keys = workspaces.flatMap((workspace, workspaceIndex) => workspace.keys.map((key, keyIndex) => ({ key, path: `workspaces[${workspaceIndex}].keys[${keyIndex}]` })))
  return [
    ...findDuplicates(failureDomains.map((domain) => domain.id), (index) => `failureDomains[${index}].id`),
    ...findDuplicates(groups.map((group) => group.id), (index) => `groups[${index}].id`),
    ...findDuplicates(workspaces.map((workspace) => workspace.id), (index) => `workspaces[${index}].id`),
    ...findDuplicates(routes.map((route) => route.name), (index) => `routes[${index}].name`),
    ...findDuplicates(keys.map(({ key }) => key.id), (index) => `${keys[index]?.path}.id`),
    ...findDuplicates(keys.map(({ key }) => key.digest), (index) => `${keys[index]?.path}.digest`),
    ...findUnknownReferences(workspaces.map((workspace) => workspace.group), groups.map((group) => group.id), 'group', (index) => `workspaces[${index}].group`),
    ...findDuplicates(endpoints.map((endpoint) => `${endpoint.name} ${endpoint.path}`), (index) => `endpoints[${index}].name`),
    ...findUnknownReferences(endpoints.map((endpoint) => endpoint.group), groups.map((group) => group.id), 'group', (index) => `endpoints[${index}].group`),
    ...findUnknownReferences(routes.map((route) => route.workspace), workspaces.map((workspace) => workspace.id), 'workspace', (index) => `routes[${index}].workspace`)
  ]
}

/**
 * Checks a parsed manifest.
 * @param document - any JSON value
 * @param lineOf - finds the line of a path in the file that the document was read from
 * @returns the manifest with defaults filled in, or every problem found
 */
export function checkManifest (document: unknown, lineOf?: LineOf): Result<Manifest, CheckProblem[]> {
  const parsed = manifestSchema.safeParse(document)
  if (!parsed.success) return err(toCheckProblems(parsed.error.issues, lineOf))
  const problems = findManifestProblems(parsed.data)
  if (problems.length === 0) return ok(parsed.data)
  return err(lineOf === undefined ? problems : problems.map((problem) => ({ ...problem, line: lineOf(parsePath(problem.path)) })))
}

import type { FieldProblem } from '../types/operator-answer.js'
import type { LineOf } from '../utils/parse-json.js'

/** One problem in a manifest or settings file. */
export interface CheckProblem extends FieldProblem {
  /** Line in the file; absent when the document was not read from a file. */
  line?: number
}

/** @returns a JSON path such as `workspaces[2].rate` */
export function formatPath (parts: readonly PropertyKey[]): string {
  let path = ''
  for (const part of parts) {
    if (typeof part === 'number') {
      path += `[${part}]`
      continue
    }
    path += path === '' ? String(part) : `.${String(part)}`
  }
  return path
}

interface SchemaIssue { readonly path: readonly PropertyKey[], readonly message: string, readonly keys?: readonly string[] | readonly PropertyKey[] }

/**
 * Converts the issues that a schema found.
 * @param lineOf - finds the line of a path in the file. The unknown fields of one object are one issue, which gets the line of the first.
 */
export function toCheckProblems (issues: readonly SchemaIssue[], lineOf?: LineOf): CheckProblem[] {
  return issues.map((issue) => ({
    path: formatPath(issue.path),
    message: issue.message,
    ...(lineOf === undefined ? {} : { line: lineOf(issue.keys === undefined ? issue.path : [...issue.path, ...issue.keys.slice(0, 1)]) })
  }))
}

/** @returns the parts of a JSON path in the form of `formatPath` */
export function parsePath (path: string): (string | number)[] {
  const parts = path.match(/[^.[\]]+|\[\d+\]/g) ?? []
  return parts.map((part) => part.startsWith('[') ? Number(part.slice(1, -1)) : part)
}

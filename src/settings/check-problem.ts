import type { FieldProblem } from '../types/operator-answer.js'
import type { LineOf } from '../utils/parse-json.js'

/** One thing that is wrong in a manifest or settings file. */
export interface CheckProblem extends FieldProblem {
  /** Line of the file, when the problem was found in one. */
  line?: number
}

/** @returns a JSON path from its parts */
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
 * @param lineOf - finds lines in the file; unknown fields are located by the first of them
 * @returns problems in the form that reports show
 */
export function problemsOf (issues: readonly SchemaIssue[], lineOf?: LineOf): CheckProblem[] {
  return issues.map((issue) => ({
    path: formatPath(issue.path),
    message: issue.message,
    ...(lineOf === undefined ? {} : { line: lineOf(issue.keys === undefined ? issue.path : [...issue.path, ...issue.keys.slice(0, 1)]) })
  }))
}

/** @returns the parts of a JSON path as `formatPath` writes it */
export function splitPath (path: string): (string | number)[] {
  const parts = path.match(/[^.[\]]+|\[\d+\]/g) ?? []
  return parts.map((part) => part.startsWith('[') ? Number(part.slice(1, -1)) : part)
}

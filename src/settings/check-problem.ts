/** One thing that is wrong in a manifest or settings file. */
export interface CheckProblem {
  /** JSON path such as `workspaces[2].rate`; empty for the whole document. */
  path: string
  /** What was expected. */
  message: string
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

interface SchemaIssue { readonly path: readonly PropertyKey[], readonly message: string }

/** @returns problems in the form that reports show */
export function problemsOf (issues: readonly SchemaIssue[]): CheckProblem[] {
  return issues.map((issue) => ({ path: formatPath(issue.path), message: issue.message }))
}

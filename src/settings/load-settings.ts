import { readFileSync } from 'node:fs'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { z } from 'zod'
import type { CheckProblem } from './check-problem.js'
import { problemsOf } from './check-problem.js'

/**
 * Reads and checks a settings file.
 * @param file - path of a JSON file
 * @param schema - schema of the settings
 * @returns the settings with defaults filled in, or every problem found
 */
export function loadSettings<Schema extends z.ZodType> (file: string, schema: Schema): Result<z.output<Schema>, CheckProblem[]> {
  let document: unknown
  try {
    document = JSON.parse(readFileSync(file, 'utf8'))
  } catch (error) {
    return err([{ path: '', message: (error as Error).message }])
  }
  const parsed = schema.safeParse(document)
  if (!parsed.success) return err(problemsOf(parsed.error.issues))
  return ok(parsed.data)
}

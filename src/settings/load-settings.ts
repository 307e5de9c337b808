import { readFileSync } from 'node:fs'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { z } from 'zod'
import { formatJsonFault, parseJson } from '../utils/parse-json.js'
import type { CheckProblem } from './check-problem.js'
import { toCheckProblems } from './check-problem.js'

function readText (file: string): Result<string, CheckProblem[]> {
  try {
    return ok(readFileSync(file, 'utf8'))
  } catch (error) {
    return err([{ path: '', message: (error as Error).message }])
  }
}

/**
 * Reads and checks a settings file.
 * @param file - path of a JSON file
 * @param schema - schema of the settings
 * @returns the settings with defaults filled in, or every problem found with its line
 */
export function loadSettings<Schema extends z.ZodType> (file: string, schema: Schema): Result<z.output<Schema>, CheckProblem[]> {
  const text = readText(file)
  if (text.isErr()) return err(text.error)
  // The message of `JSON.parse` quotes the text, which contains secrets, so the problem states only the fault and its line.
  const json = parseJson(text.value)
  if (json.isErr()) return err([{ path: '', message: formatJsonFault(json.error), line: json.error.line }])
  const parsed = schema.safeParse(json.value.value)
  if (!parsed.success) return err(toCheckProblems(parsed.error.issues, json.value.lineOf))
  return ok(parsed.data)
}

import { readFileSync } from 'node:fs'
import type { Result } from 'neverthrow'
import { err } from 'neverthrow'
import type { Manifest } from '../types/manifest.js'
import { formatJsonFault, parseJson } from '../utils/parse-json.js'
import { checkManifest } from './check-manifest.js'
import type { CheckProblem } from './check-problem.js'

/** Reads and checks a manifest file. @returns the manifest with defaults filled in, or every problem with its path and line */
export function readManifestFile (file: string): Result<Manifest, CheckProblem[]> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return err([{ path: '', message: (error as Error).message }])
  }
  const json = parseJson(text)
  if (json.isErr()) return err([{ path: '', message: formatJsonFault(json.error), line: json.error.line }])
  return checkManifest(json.value.value, json.value.lineOf)
}

import type { CheckProblem } from '../settings/check-problem.js'
import { wrapLine } from '../reports/text-lines.js'
import type { ExitCode } from './exit-code.js'
import { exitCodes } from './exit-code.js'

/** What a command prints, and its exit code. Text and data have the same content. */
export interface CommandOutput {
  exitCode: ExitCode
  /** Plain text, at most 40 columns wide. */
  lines: string[]
  /** Printed in place of the text with `--json`. */
  data: Record<string, unknown>
}

/**
 * Builds the output of a command whose input has problems.
 * @param file - path of the input file, or the option that is wrong
 */
export function buildBadInputOutput (file: string, problems: readonly CheckProblem[]): CommandOutput {
  const lines = problems.flatMap(({ path, line, message }) => {
    const place = [line === undefined ? '' : `line ${line}`, path].filter((part) => part !== '').join(' ')
    return wrapLine(place === '' ? message : `${place}: ${message}`)
  })
  const noun = problems.length === 1 ? 'problem' : 'problems'
  return { exitCode: exitCodes.badInput, lines: [...wrapLine(`${file}: ${problems.length} ${noun}`), ...lines], data: { file, problems } }
}

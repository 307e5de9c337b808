import { wrapLine } from '../reports/text-lines.js'
import type { ExitCode } from './exit-code.js'
import { exitCodes } from './exit-code.js'
import type { Attempt, ControlAnswer } from './request-from-leader.js'
import type { CommandOutput } from './command-output.js'

const SHOWN_DIGEST_DIGITS = 12

function buildAttemptsOutput (exitCode: ExitCode, name: string, sentence: string, attempts: Attempt[]): CommandOutput {
  const lines = attempts.flatMap(({ address, message }) => wrapLine(`  ${address}: ${message}`))
  return { exitCode, lines: [...wrapLine(sentence), ...lines], data: { error: name, message: sentence, attempts } }
}

/** @returns the output for every result of a request except `answered` */
export function buildFailureOutput (answer: Exclude<ControlAnswer, { kind: 'answered' }>): CommandOutput {
  switch (answer.kind) {
    case 'unknown':
      return buildAttemptsOutput(exitCodes.unknown, 'outcome-unknown', 'OUTCOME UNKNOWN: the commit may or may not be accepted. Repeat the same command.', answer.attempts)
    case 'credential-refused':
      return buildAttemptsOutput(exitCodes.credentialRefused, 'credential-refused', 'The operator credential was refused.', answer.attempts)
    case 'no-leader':
    case 'unproven':
      return buildAttemptsOutput(exitCodes.noLeader, 'no-leader', 'No control leader was reached.', answer.attempts)
    case 'refused':
  }
  const { refusal } = answer
  const { conflict, problems } = refusal
  if (conflict !== undefined) {
    const { currentVersion, winningVersion, winningDigest, winningOperator } = conflict
    const winnerText = winningVersion === null ? 'No manifest was accepted yet.' : `Version ${winningVersion}: content ${winningDigest.slice(0, SHOWN_DIGEST_DIGITS)}, committed by ${winningOperator}`
    const lines = [...wrapLine(`CONFLICT: version ${currentVersion} is in force`), ...wrapLine(winnerText), ...wrapLine('This commit changed nothing.')]
    return { exitCode: exitCodes.conflict, lines, data: { error: 'manifest-conflict', ...conflict } }
  }
  const problemLines = (problems ?? []).flatMap(({ path, message }) => wrapLine(`  ${path}: ${message}`))
  const lines = [...wrapLine(`Refused with code ${refusal.code}${problems === undefined ? `: ${refusal.message}` : ''}`), ...problemLines]
  return { exitCode: exitCodes.badInput, lines, data: { error: 'refused', code: refusal.code, message: refusal.message, problems } }
}

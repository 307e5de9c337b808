import type { ReportFreshness, ReportHead } from '../types/operator-report.js'

/** Columns that a phone shows in one line of a terminal or mail. */
export const LINE_WIDTH_COLUMNS = 40
const CONTINUATION_INDENT = '  '
const MS_PER_SECOND = 1000
const MS_PER_MINUTE = 60 * MS_PER_SECOND
const MS_PER_HOUR = 60 * MS_PER_MINUTE

/** Replaces control characters. Names come from settings files, and a control character could forge lines or colours on a terminal. */
function replaceControlCharacters (text: string): string {
  // eslint-disable-next-line no-control-regex
  return text.replaceAll(/[\u0000-\u001f\u007f-\u009f\u200e\u200f\u202a-\u202e\u2066-\u2069]/g, '?')
}

/**
 * Wraps a line of text. Long words are broken and never shortened.
 * @param text - one line; leading spaces are its indentation
 * @returns lines of at most `LINE_WIDTH_COLUMNS` characters
 */
export function wrapLine (text: string): string[] {
  const body = replaceControlCharacters(text).trimStart()
  const indent = ' '.repeat(text.length - text.trimStart().length)
  const lines: string[] = []
  let line = indent
  let isLineEmpty = true
  function breakLine (): void {
    lines.push(line)
    line = indent + CONTINUATION_INDENT
    isLineEmpty = true
  }
  for (const word of body.split(' ')) {
    const separatedWord = isLineEmpty ? word : ` ${word}`
    if (line.length + separatedWord.length <= LINE_WIDTH_COLUMNS) {
      line += separatedWord
      isLineEmpty = false
      continue
    }
    if (!isLineEmpty) breakLine()
    let rest = word
    while (line.length + rest.length > LINE_WIDTH_COLUMNS) {
      const availableColumns = LINE_WIDTH_COLUMNS - line.length
      line += rest.slice(0, availableColumns)
      rest = rest.slice(availableColumns)
      breakLine()
    }
    line += rest
    isLineEmpty = false
  }
  return [...lines, line]
}

/** @returns a duration in its largest unit that fits, such as `1.5 s` */
export function formatAge (durationMs: number): string {
  if (durationMs < MS_PER_SECOND) return `${Math.round(durationMs)} ms`
  if (durationMs < MS_PER_MINUTE) return `${(durationMs / MS_PER_SECOND).toFixed(1)} s`
  if (durationMs < MS_PER_HOUR) return `${Math.floor(durationMs / MS_PER_MINUTE)} min`
  return `${Math.floor(durationMs / MS_PER_HOUR)} h`
}

/** @returns a sentence on whether a majority confirmed the leadership of the instance that made the report */
export function formatFreshness (freshness: ReportFreshness): string {
  if (freshness.proven) return `Proven by a majority, leader term ${freshness.leaderTerm}`
  if (freshness.reason === 'no-majority') return 'NOT PROVEN: no majority answered; nothing is known to be in force'
  const leader = freshness.leaderAddress === null ? 'no leader is known' : `the leader is ${freshness.leaderAddress}`
  return `NOT PROVEN: not the leader; ${leader}`
}

/** @returns the first lines of every report, beginning with the sentence on its freshness */
export function formatReportHead ({ freshness, madeBy, madeAt }: ReportHead): string[] {
  return [...wrapLine(formatFreshness(freshness)), ...wrapLine(`By ${madeBy} at ${madeAt.slice(0, 19)}Z`)]
}

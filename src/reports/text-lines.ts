import type { ReportFreshness, ReportHead } from '../types/operator-report.js'

/** Characters that a phone shows in one line of a terminal or mail. */
export const WIDTH = 40
const INDENT = '  '
const MS_PER_SECOND = 1000
const MS_PER_MINUTE = 60 * MS_PER_SECOND
const MS_PER_HOUR = 60 * MS_PER_MINUTE

/** Names come from settings files; a control character could forge lines or colours on a terminal. */
function visible (text: string): string {
  // eslint-disable-next-line no-control-regex
  return text.replaceAll(/[\u0000-\u001f\u007f-\u009f\u200e\u200f\u202a-\u202e\u2066-\u2069]/g, '?')
}

/**
 * @param text - one line; leading spaces are its indentation
 * @returns the text in lines of at most `WIDTH` characters; long words are broken, never shortened
 */
export function wrapLine (text: string): string[] {
  const body = visible(text).trimStart()
  const indent = ' '.repeat(text.length - text.trimStart().length)
  const lines: string[] = []
  let line = indent
  let empty = true
  function breakLine (): void {
    lines.push(line)
    line = indent + INDENT
    empty = true
  }
  for (const word of body.split(' ')) {
    const separated = empty ? word : ` ${word}`
    if (line.length + separated.length <= WIDTH) {
      line += separated
      empty = false
      continue
    }
    if (!empty) breakLine()
    let rest = word
    while (line.length + rest.length > WIDTH) {
      const room = WIDTH - line.length
      line += rest.slice(0, room)
      rest = rest.slice(room)
      breakLine()
    }
    line += rest
    empty = false
  }
  return [...lines, line]
}

/** @returns a duration in its largest fitting unit */
export function ageText (durationMs: number): string {
  if (durationMs < MS_PER_SECOND) return `${Math.round(durationMs)} ms`
  if (durationMs < MS_PER_MINUTE) return `${(durationMs / MS_PER_SECOND).toFixed(1)} s`
  if (durationMs < MS_PER_HOUR) return `${Math.floor(durationMs / MS_PER_MINUTE)} min`
  return `${Math.floor(durationMs / MS_PER_HOUR)} h`
}

/** @returns whether the instance that made a report could prove its freshness, in one sentence */
export function freshnessSentence (freshness: ReportFreshness): string {
  if (freshness.proven) return `Proven by a majority, leader term ${freshness.leaderTerm}`
  if (freshness.reason === 'no-majority') return 'NOT PROVEN: no majority answered; nothing is known to be in force'
  const leader = freshness.leaderAddress === null ? 'no leader is known' : `the leader is ${freshness.leaderAddress}`
  return `NOT PROVEN: not the leader; ${leader}`
}

/** @returns the lines that every report begins with; the first tells the freshness */
export function headLines ({ freshness, madeBy, madeAt }: ReportHead): string[] {
  return [...wrapLine(freshnessSentence(freshness)), ...wrapLine(`By ${madeBy} at ${madeAt.slice(0, 19)}Z`)]
}

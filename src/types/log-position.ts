/** A position in the replication log of a database group. Ordered by term, then by offset. */
export interface LogPosition {
  /** Term of the primary that wrote the entry. */
  readonly term: number
  /** Number of log entries up to and including this one, over all terms. */
  readonly offset: number
}

/** @returns a negative number, zero or a positive number, as `left` is before, at or past `right` */
export function compareLogPositions (left: LogPosition, right: LogPosition): number {
  if (left.term !== right.term) return left.term - right.term
  return left.offset - right.offset
}

/** @returns whether a database at `position` holds everything up to `required` */
export function isAtOrPast (position: LogPosition, required: LogPosition): boolean {
  return compareLogPositions(position, required) >= 0
}

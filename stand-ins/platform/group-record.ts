import type { LogPosition } from '../../src/types/log-position.js'

/** One write of a commit. */
export interface CommittedWrite {
  /** Id of the statement, as its sender chose it. */
  id: string
  item: string
  data: string
  workspace: string
}

/** Log entry of one commit. */
export interface LogEntry extends LogPosition {
  writes: readonly CommittedWrite[]
}

/** A data statement, begin or commit that a database ran. The group does not record statements with the id `-`. */
export interface GroupStatement {
  /** Wall-clock time at which the database ran it, in ms. */
  at: number
  /** Wall-clock time at which the database received it, in ms. */
  receivedAt: number
  id: string
  /** Text of the statement. In an `EXECUTE` the kind and the shape that were prepared stand in place of the name, which its sender may choose. */
  text: string
  /** Workspace of the session that sent the statement. */
  workspace: string
  /** Number of the session, unique in the group. */
  session: number
  /** Values that the session had, as `name=value` in the order of the names. */
  values: string
}

/** Times of a statement at a database, which received it and perhaps did not run it. */
export interface StatementReceipt {
  /** Wall-clock time at which the database received it, in ms. */
  receivedAt: number
  /** Wall-clock time at which the database had finished its work on it, in ms; null before. */
  finishedAt: number | null
}

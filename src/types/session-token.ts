import type { GroupId } from './ids.js'
import type { LogPosition } from './log-position.js'

/** Position of a session's last write at one group. */
export interface SessionPosition {
  group: GroupId
  position: LogPosition
}

/** Content of a session token: the positions that the session has to see. */
export interface SessionToken {
  /** One position for each group, beginning with the group of the last write. */
  positions: SessionPosition[]
  /** Whether the session has written at further groups, whose positions had no room. Reads at groups without a position go to the primary. */
  isPartial: boolean
}

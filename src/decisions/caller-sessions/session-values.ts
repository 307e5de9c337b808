import { randomBytes } from 'node:crypto'
import type { StatementAccess } from '../../types/session-statement.js'

/** A statement that a caller prepared. */
export interface PreparedStatement {
  access: StatementAccess
  /** Statement text as the caller prepared it, without the values of one execution. */
  shape: string
}

/** Read access to the values and prepared statements of a caller's session. */
export interface ValuesView {
  /** Id of this history of changes, unique among all sessions of all instances. */
  readonly owner: string
  /** @returns number of changes in the history */
  version: () => number
  /** @returns changes after a version, in order */
  since: (version: number) => readonly { name: string, value: string }[]
  readonly prepared: ReadonlyMap<string, PreparedStatement>
}

/** Values and prepared statements of a caller's session. They outlive the database connections that serve the session. */
export interface SessionValues extends ValuesView {
  /** Sets a value. A long history of changes is shortened and gets a new `owner`. */
  set: (name: string, value: string) => void
  readonly prepared: Map<string, PreparedStatement>
}

/** Number of changes above which the history is reduced to the last value of each name. */
const MAX_CHANGES = 256

const OWNER_ID_BYTES = 9

const createOwnerId = (): string => randomBytes(OWNER_ID_BYTES).toString('base64url')

/** Creates the values of a new session, without changes or prepared statements. */
export function createSessionValues (): SessionValues {
  let changes: { name: string, value: string }[] = []
  let droppedCount = 0
  let owner = createOwnerId()

  return {
    get owner () { return owner },
    prepared: new Map(),
    set: (name, value) => {
      changes.push({ name, value })
      if (changes.length <= MAX_CHANGES) return
      const lastByName = new Map(changes.map((change) => [change.name, change]))
      changes = [...lastByName.values()]
      droppedCount = 0
      // The new id makes connections that have a part of the former history reset their values.
      owner = createOwnerId()
    },
    version: () => droppedCount + changes.length,
    since: (version) => changes.slice(version - droppedCount)
  }
}

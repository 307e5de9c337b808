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
/** Characters of values above which the history is reduced, if a part of it was overwritten. */
const MAX_OVERWRITTEN_CHARACTERS = 64 * 1024

const OWNER_ID_BYTES = 9

const createOwnerId = (): string => randomBytes(OWNER_ID_BYTES).toString('base64url')

/** Creates the values of a new session, without changes or prepared statements. */
export function createSessionValues (): SessionValues {
  let changes: { name: string, value: string }[] = []
  let droppedCount = 0
  /** Characters of values that a later change of the same name has overwritten. */
  let overwrittenCharacters = 0
  const lengths = new Map<string, number>()
  let owner = createOwnerId()

  return {
    get owner () { return owner },
    prepared: new Map(),
    set: (name, value) => {
      changes.push({ name, value })
      overwrittenCharacters += lengths.get(name) ?? 0
      lengths.set(name, value.length)
      if (changes.length <= MAX_CHANGES && overwrittenCharacters <= MAX_OVERWRITTEN_CHARACTERS) return
      overwrittenCharacters = 0
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

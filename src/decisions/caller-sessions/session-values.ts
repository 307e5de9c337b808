import { randomBytes } from 'node:crypto'
import type { StatementAccess } from '../../types/session-statement.js'

/** A statement that a caller prepared. */
export interface PreparedStatement {
  access: StatementAccess
  shape: string
}

/** What a caller set on its session, as statements need it. */
export interface ValuesView {
  /** Unique among all sessions of all instances. */
  readonly owner: string
  /** @returns number of changes so far */
  version: () => number
  /** @returns changes after a version, in order */
  since: (version: number) => readonly { name: string, value: string }[]
  readonly prepared: ReadonlyMap<string, PreparedStatement>
}

/** What a caller set on its session. It outlives the database connections that serve the session. */
export interface SessionValues extends ValuesView {
  set: (name: string, value: string) => void
  readonly prepared: Map<string, PreparedStatement>
}

/** Changes after which the history is reduced to the last value of each name. */
const MAX_CHANGES = 256

const OWNER_BYTES = 9

const newOwner = (): string => randomBytes(OWNER_BYTES).toString('base64url')

export function createSessionValues (): SessionValues {
  let changes: { name: string, value: string }[] = []
  let dropped = 0
  let owner = newOwner()

  return {
    get owner () { return owner },
    prepared: new Map(),
    set: (name, value) => {
      changes.push({ name, value })
      if (changes.length <= MAX_CHANGES) return
      const last = new Map(changes.map((change) => [change.name, change]))
      changes = [...last.values()]
      dropped = 0
      // Connections that hold a part of the former history must start anew.
      owner = newOwner()
    },
    version: () => dropped + changes.length,
    since: (version) => changes.slice(version - dropped)
  }
}

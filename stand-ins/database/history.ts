/** One write statement of a committed transaction, as the primary applied it. */
export interface AppliedWrite {
  workspace: string
  statement: string
  values: readonly (string | null)[]
  /** Term of the transaction's log entry. All writes of a transaction share the entry. */
  term: number
  /** Offset of the transaction's log entry. */
  offset: number
  /** Number of the client connection, counted over all starts of the stand-in. */
  connection: number
}

/** Record of the writes that a primary applied. */
export interface History {
  record: (writes: readonly AppliedWrite[]) => void
  list: () => readonly AppliedWrite[]
}

/** @returns a history without writes */
export function createHistory (): History {
  const applied: AppliedWrite[] = []
  return {
    record: (writes) => { applied.push(...writes) },
    list: () => applied
  }
}

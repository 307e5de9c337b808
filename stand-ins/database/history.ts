/** One write statement of a committed transaction, as the primary applied it. */
export interface AppliedWrite {
  workspace: string
  statement: string
  values: readonly (string | null)[]
  /** Log entry of the transaction; writes of one transaction share it. */
  term: number
  offset: number
  /** Number of the client connection, counted over all starts of the stand-in. */
  connection: number
}

export interface History {
  record: (writes: readonly AppliedWrite[]) => void
  list: () => readonly AppliedWrite[]
}

/** @returns a recorder without entries */
export function createHistory (): History {
  const applied: AppliedWrite[] = []
  return {
    record: (writes) => { applied.push(...writes) },
    list: () => applied
  }
}

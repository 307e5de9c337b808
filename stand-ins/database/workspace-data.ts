/** One change of a transaction. Values are text, as in the tables of the stand-in. */
export type Change =
  | { kind: 'set', workspace: string, key: string, value: string }
  | { kind: 'delete', workspace: string, key: string }
  | { kind: 'append', workspace: string, key: string, value: string }
  | { kind: 'record', workspace: string, idempotencyKey: string, digest: string, answer: string }

/** Answer of a request, recorded under the request's idempotency key. */
export interface RecordedAnswer {
  /** Digest of the request, which tells whether the key is used again for another request. */
  digest: string
  answer: string
}

/** Tables of all workspaces, with the changes of the log applied. */
export interface WorkspaceData {
  /** @returns the value of a key in the table `kv`, or null when it has none */
  value: (workspace: string, key: string) => string | null
  /** @returns the values of a key in the table `entries`, in the order of their appends */
  entries: (workspace: string, key: string) => readonly string[]
  /** @returns the answer recorded under the key, or null */
  answer: (workspace: string, idempotencyKey: string) => RecordedAnswer | null
  apply: (changes: readonly Change[]) => void
}

interface Tables {
  values: Map<string, string>
  entries: Map<string, string[]>
  answers: Map<string, RecordedAnswer>
}

const noEntries: readonly string[] = []

/** @returns empty tables */
export function createWorkspaceData (): WorkspaceData {
  const workspaces = new Map<string, Tables>()

  function findOrCreateTables (workspace: string): Tables {
    const existing = workspaces.get(workspace)
    if (existing !== undefined) return existing
    const tables: Tables = { values: new Map(), entries: new Map(), answers: new Map() }
    workspaces.set(workspace, tables)
    return tables
  }

  function applyChange (change: Change): void {
    const tables = findOrCreateTables(change.workspace)
    switch (change.kind) {
      case 'set':
        tables.values.set(change.key, change.value)
        return
      case 'delete':
        tables.values.delete(change.key)
        return
      case 'append': {
        const list = tables.entries.get(change.key)
        if (list === undefined) tables.entries.set(change.key, [change.value])
        else list.push(change.value)
        return
      }
      case 'record':
        tables.answers.set(change.idempotencyKey, { digest: change.digest, answer: change.answer })
    }
  }

  return {
    value: (workspace, key) => workspaces.get(workspace)?.values.get(key) ?? null,
    entries: (workspace, key) => workspaces.get(workspace)?.entries.get(key) ?? noEntries,
    answer: (workspace, idempotencyKey) => workspaces.get(workspace)?.answers.get(idempotencyKey) ?? null,
    apply: (changes) => changes.forEach(applyChange)
  }
}

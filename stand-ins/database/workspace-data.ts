/** One change of a transaction. Values are text, as the tables of the stand-in hold them. */
export type Change =
  | { kind: 'set', workspace: string, key: string, value: string }
  | { kind: 'delete', workspace: string, key: string }
  | { kind: 'append', workspace: string, key: string, value: string }
  | { kind: 'record', workspace: string, idempotencyKey: string, digest: string, answer: string }

/** Answer recorded under an idempotency key. */
export interface RecordedAnswer {
  digest: string
  answer: string
}

/** Tables of all workspaces, as the log made them. */
export interface WorkspaceData {
  value: (workspace: string, key: string) => string | null
  entries: (workspace: string, key: string) => readonly string[]
  answer: (workspace: string, idempotencyKey: string) => RecordedAnswer | null
  apply: (changes: readonly Change[]) => void
}

interface Tables {
  values: Map<string, string>
  entries: Map<string, string[]>
  answers: Map<string, RecordedAnswer>
}

const noEntries: readonly string[] = []

/** @returns tables without content */
export function createWorkspaceData (): WorkspaceData {
  const workspaces = new Map<string, Tables>()

  function tablesOf (workspace: string): Tables {
    const known = workspaces.get(workspace)
    if (known !== undefined) return known
    const tables: Tables = { values: new Map(), entries: new Map(), answers: new Map() }
    workspaces.set(workspace, tables)
    return tables
  }

  function applyChange (change: Change): void {
    const tables = tablesOf(change.workspace)
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

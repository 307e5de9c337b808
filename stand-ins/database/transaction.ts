import type { AppliedWrite } from './history.js'
import type { Change, WorkspaceData } from './workspace-data.js'

/** Request that the transaction carries out, as `catkinrelay.begin_request` recorded it. */
export interface BoundRequest {
  workspace: string
  idempotencyKey: string | null
  digest: string
}

/** Open transaction. Its changes are invisible to other transactions. */
export interface Transaction {
  /** Term of the database at the beginning of the transaction. */
  readonly term: number
  readonly readOnly: boolean
  /** Settings of the session at the beginning, which a rollback restores. */
  readonly savedSettings: Map<string, string>
  /** Settings that end with the transaction (`set local`). */
  readonly localSettings: Map<string, string>
  /** Changes that a commit writes to the log. */
  readonly changes: Change[]
  /** Write statements that a commit adds to the history. */
  readonly writes: Omit<AppliedWrite, 'term' | 'offset' | 'connection'>[]
  /** Null until `catkinrelay.begin_request` binds the transaction to a request. */
  request: BoundRequest | null
}

/** @returns a transaction without changes */
export function createTransaction (start: Pick<Transaction, 'term' | 'readOnly' | 'savedSettings'>): Transaction {
  return { ...start, localSettings: new Map(), changes: [], writes: [], request: null }
}

/** @returns the value of a key as the transaction reads it, with its own changes; null when the key has none */
export function findVisibleValue (data: WorkspaceData, transaction: Transaction, workspace: string, key: string): string | null {
  let value = data.value(workspace, key)
  for (const change of transaction.changes) {
    if (change.kind === 'set' && change.workspace === workspace && change.key === key) value = change.value
    if (change.kind === 'delete' && change.workspace === workspace && change.key === key) value = null
  }
  return value
}

/** @returns the entries of a key as the transaction reads them, with those that it appended itself */
export function findVisibleEntries (data: WorkspaceData, transaction: Transaction, workspace: string, key: string): readonly string[] {
  const own = transaction.changes.flatMap((change) => change.kind === 'append' && change.workspace === workspace && change.key === key ? [change.value] : [])
  const committed = data.entries(workspace, key)
  return own.length === 0 ? committed : [...committed, ...own]
}

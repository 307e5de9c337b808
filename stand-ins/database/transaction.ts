import type { AppliedWrite } from './history.js'
import type { Change, WorkspaceData } from './workspace-data.js'

/** Request that `catkinrelay.begin_request` bound to the transaction. */
export interface BoundRequest {
  workspace: string
  idempotencyKey: string | null
  digest: string
}

/** A transaction before its commit; its changes are visible to itself only. */
export interface Transaction {
  /** Term of the database when it began. */
  readonly term: number
  readonly readOnly: boolean
  /** Session settings to go back to on a rollback. */
  readonly savedSettings: Map<string, string>
  readonly localSettings: Map<string, string>
  readonly changes: Change[]
  readonly writes: Omit<AppliedWrite, 'term' | 'offset' | 'connection'>[]
  request: BoundRequest | null
}

export function createTransaction (start: Pick<Transaction, 'term' | 'readOnly' | 'savedSettings'>): Transaction {
  return { ...start, localSettings: new Map(), changes: [], writes: [], request: null }
}

/** @returns the value of a key as the transaction sees it */
export function visibleValue (data: WorkspaceData, transaction: Transaction, workspace: string, key: string): string | null {
  let value = data.value(workspace, key)
  for (const change of transaction.changes) {
    if (change.kind === 'set' && change.workspace === workspace && change.key === key) value = change.value
    if (change.kind === 'delete' && change.workspace === workspace && change.key === key) value = null
  }
  return value
}

/** @returns the entries of a key as the transaction sees them */
export function visibleEntries (data: WorkspaceData, transaction: Transaction, workspace: string, key: string): readonly string[] {
  const own = transaction.changes.flatMap((change) => change.kind === 'append' && change.workspace === workspace && change.key === key ? [change.value] : [])
  const committed = data.entries(workspace, key)
  return own.length === 0 ? committed : [...committed, ...own]
}

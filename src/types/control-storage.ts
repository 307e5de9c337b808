import type { Result } from 'neverthrow'
import type { LogEntry, LogSnapshot, TermVote } from './consensus-entry.js'
import type { MemberId } from './ids.js'
import type { ResultCode } from './result-code.js'

/** A change of a member's durable state. */
export type DurableRecord =
  | { kind: 'vote', vote: TermVote }
  /** The first of these entries replaces the entry with the same index in the log, and every later one. */
  | { kind: 'entries', entries: LogEntry[] }
  /** Replaces the whole log; `entries` follow the snapshot. */
  | { kind: 'snapshot', snapshot: LogSnapshot, vote: TermVote, entries: LogEntry[] }

/** Durable state that a member reads when it starts. */
export interface RestoredMember {
  member: MemberId
  vote: TermVote
  snapshot: LogSnapshot | null
  /** Entries after the snapshot, without gaps. */
  entries: LogEntry[]
}

/** Why a data folder can't be used. */
export interface StorageFailure {
  code: ResultCode
  message: string
  /** Whether the folder may take writes again without anybody's help, such as a full disk once it has room. */
  isTemporary: boolean
}

/** Durable state of a running member. */
export interface ControlStorage {
  /**
   * Writes records in the order of the calls and resolves after it has synced them. Calls made during a sync share the next one.
   * After a failure the storage writes nothing more, and every later call fails until `recover` succeeds.
   */
  persist: (records: DurableRecord[]) => Promise<Result<void, StorageFailure>>
  /**
   * Removes what failed writes have left, tests that the folder takes writes, and reads it again. Call it after a failure, and again while it fails.
   * @returns what the folder holds: everything for which `persist` succeeded, and of later records none or only a snapshot
   */
  recover: () => Promise<Result<RestoredMember, StorageFailure>>
  /** Waits for pending writes and closes the files. */
  close: () => Promise<void>
}

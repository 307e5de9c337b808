import type { LogEntry, LogSnapshot, TermVote } from '../../types/consensus-entry.js'
import type { DurableRecord, RestoredMember } from '../../types/control-storage.js'
import type { MemberId } from '../../types/ids.js'
import { decodeFrames } from './log-frame.js'

/** First frame of a log file. */
export interface LogFileHeader {
  formatVersion: 1
  member: MemberId
  /** Index of the snapshot that the log continues; 0: none. A restart compares it with the snapshot file to detect that the file is missing. */
  snapshotIndex: number
}

/** Contents of the files of an existing data folder. */
export interface DataFolderContents {
  member: MemberId
  log: Buffer
  snapshot: Buffer | null
}

export interface RestoreResult {
  restored: RestoredMember
  /** Length of the valid part of the log in bytes; the rest of a longer file is a torn record. */
  validLogBytes: number
  /** Whether the log continues an earlier snapshot than the folder holds. Such a log must be replaced before a record is appended to it. */
  isLogOutdated: boolean
}

/** Thrown for a data folder that something other than a crash of the process has changed. */
export class LogDamageError extends Error {}

/**
 * Restores the durable state of a member from the files of its data folder.
 * @throws LogDamageError when anything but the last record of the log is damaged or missing
 */
export function restoreMember (contents: DataFolderContents): RestoreResult {
  const log = decodeFrames(contents.log)
  if (log.end === 'damaged') throw new LogDamageError(`the log record at byte ${log.validBytes} is damaged and followed by others`)
  const [header, ...batches] = log.values as [LogFileHeader, ...DurableRecord[][]]
  if (header === undefined) throw new LogDamageError('the log has no readable first record')
  if (header.formatVersion !== 1) throw new LogDamageError('the log has an unknown format')
  if (header.member !== contents.member) throw new LogDamageError(`the log belongs to member ${header.member} and the folder to ${contents.member}`)

  const snapshot = readSnapshot(contents.snapshot)
  if ((snapshot?.index ?? 0) < header.snapshotIndex) throw new LogDamageError(`the snapshot of entry ${header.snapshotIndex} is missing`)
  const { vote, entries } = replay(batches.flat(), header.snapshotIndex)
  return {
    restored: { member: contents.member, vote, snapshot, entries: dropCoveredEntries(snapshot, entries) },
    validLogBytes: log.validBytes,
    isLogOutdated: (snapshot?.index ?? 0) > header.snapshotIndex
  }
}

function readSnapshot (bytes: Buffer | null): LogSnapshot | null {
  if (bytes === null) return null
  const frames = decodeFrames(bytes)
  // Storage renames a snapshot into place after its sync, so a crash never leaves a torn one.
  if (frames.end !== 'whole' || frames.values.length !== 1) throw new LogDamageError('the snapshot is damaged')
  return frames.values[0] as LogSnapshot
}

function replay (records: readonly DurableRecord[], snapshotIndex: number): { vote: TermVote, entries: LogEntry[] } {
  let vote: TermVote = { term: 0, votedFor: null }
  const entries: LogEntry[] = []
  for (const record of records) {
    if (record.kind === 'vote') vote = record.vote
    if (record.kind === 'entries') replayEntries(entries, record.entries, snapshotIndex)
  }
  return { vote, entries }
}

function replayEntries (entries: LogEntry[], added: readonly LogEntry[], snapshotIndex: number): void {
  const first = added[0]
  if (first === undefined) return
  const keptCount = first.index - snapshotIndex - 1
  if (keptCount < 0 || keptCount > entries.length) throw new LogDamageError(`entry ${first.index} does not continue the log`)
  entries.length = keptCount
  for (const entry of added) entries.push(entry)
}

/**
 * Drops the entries that the snapshot covers; a crash between writing the snapshot and shortening the log leaves them.
 * Drops all entries when the log disagrees with the last entry of the snapshot.
 */
function dropCoveredEntries (snapshot: LogSnapshot | null, entries: LogEntry[]): LogEntry[] {
  if (snapshot === null) return entries
  const first = entries[0]
  if (first === undefined || first.index === snapshot.index + 1) return entries
  const covered = entries.find((entry) => entry.index === snapshot.index)
  if (covered?.term !== snapshot.term) return []
  return entries.filter((entry) => entry.index > snapshot.index)
}

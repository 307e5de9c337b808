import type { LogEntry, LogSnapshot, TermVote } from '../../types/consensus-entry.js'
import type { DurableRecord, RestoredMember } from '../../types/control-storage.js'
import type { MemberId } from '../../types/ids.js'
import { decodeFrames } from './log-frame.js'

/** First frame of a log file. */
export interface LogFileHeader {
  formatVersion: 1
  member: MemberId
  /** Snapshot that the log continues; a missing snapshot file is noticed by it. 0: none. */
  snapshotIndex: number
}

/** Contents of the files of a data folder that was used before. */
export interface DataFolderContents {
  member: MemberId
  log: Buffer
  snapshot: Buffer | null
}

export interface ReadMember {
  restored: RestoredMember
  /** Bytes of the log that are kept; a torn record follows if the file is longer. */
  validLogBytes: number
}

/** A data folder that was changed by something else than a crash of the process. */
export class LogDamage extends Error {}

/**
 * Derives the durable state of a member.
 * @throws LogDamage when anything but the last record of the log is damaged or missing
 */
export function readMember (contents: DataFolderContents): ReadMember {
  const log = decodeFrames(contents.log)
  if (log.end === 'damaged') throw new LogDamage(`the log record at byte ${log.validBytes} is damaged and followed by others`)
  const [header, ...batches] = log.values as [LogFileHeader, ...DurableRecord[][]]
  if (header === undefined) throw new LogDamage('the log has no readable first record')
  if (header.formatVersion !== 1) throw new LogDamage('the log has an unknown format')
  if (header.member !== contents.member) throw new LogDamage(`the log belongs to member ${header.member} and the folder to ${contents.member}`)

  const snapshot = readSnapshot(contents.snapshot)
  if ((snapshot?.index ?? 0) < header.snapshotIndex) throw new LogDamage(`the snapshot of entry ${header.snapshotIndex} is missing`)
  const { vote, entries } = replay(batches.flat(), header.snapshotIndex)
  return {
    restored: { member: contents.member, vote, snapshot, entries: entriesAfter(snapshot, entries) },
    validLogBytes: log.validBytes
  }
}

function readSnapshot (bytes: Buffer | null): LogSnapshot | null {
  if (bytes === null) return null
  const frames = decodeFrames(bytes)
  // A snapshot is renamed into place after its sync, so it is never torn.
  if (frames.end !== 'whole' || frames.values.length !== 1) throw new LogDamage('the snapshot is damaged')
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
  const kept = first.index - snapshotIndex - 1
  if (kept < 0 || kept > entries.length) throw new LogDamage(`entry ${first.index} does not continue the log`)
  entries.length = kept
  for (const entry of added) entries.push(entry)
}

/** A crash between the snapshot and the shortened log leaves entries that the snapshot covers. */
function entriesAfter (snapshot: LogSnapshot | null, entries: LogEntry[]): LogEntry[] {
  if (snapshot === null) return entries
  const first = entries[0]
  if (first === undefined || first.index === snapshot.index + 1) return entries
  const covered = entries.find((entry) => entry.index === snapshot.index)
  if (covered?.term !== snapshot.term) return []
  return entries.filter((entry) => entry.index > snapshot.index)
}

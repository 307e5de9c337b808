import { randomUUID } from 'node:crypto'
import { constants } from 'node:fs/promises'
import { dirname } from 'node:path'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { LogEntry, TermVote } from '../../types/consensus-entry.js'
import type { ControlStorage, DurableRecord, RestoredMember, StorageFailure } from '../../types/control-storage.js'
import type { MemberId } from '../../types/ids.js'
import { memberId } from '../../types/ids.js'
import { resultCodes } from '../../types/result-code.js'
import { dataFolderPaths } from './data-folder.js'
import type { DataFolderPaths } from './data-folder.js'
import { readFileIfPresent, replaceFile, syncFolder, writeFully } from './durable-file.js'
import type { FileOperations, OpenFile } from './file-operations.js'
import { nodeFileOperations } from './file-operations.js'
import { encodeFrame } from './log-frame.js'
import type { LogFileHeader, RestoreResult } from './restore-member.js'
import { LogDamageError, restoreMember } from './restore-member.js'

export interface OpenedControlStorage {
  storage: ControlStorage
  restored: RestoredMember
  /** Size of an incomplete last log record that was cut off, in bytes; usually 0. */
  cutBytes: number
}

/**
 * Opens the data folder of a control member; creates its files on the first start.
 * @param dataFolder - path; created if its parent exists
 * @param files - functions of the file system; default: those of the process
 * @returns `dataFolderUnusable` when the folder can't be read or written; `logDamaged` when its content is damaged, in which case no file was changed
 */
export async function openControlStorage (dataFolder: string, files: FileOperations = nodeFileOperations): Promise<Result<OpenedControlStorage, StorageFailure>> {
  const paths = dataFolderPaths(dataFolder)
  try {
    await createFolderIfMissing(files, dataFolder)
    await files.access(dataFolder, constants.R_OK | constants.W_OK | constants.X_OK)
    const { restored, validLogBytes } = await readUpToDateFolder(files, paths) ?? await createFiles(files, paths)
    const log = await files.open(paths.log, 'r+')
    const { size } = await log.stat()
    if (size > validLogBytes) await log.truncate(validLogBytes)
    // The process before may have been killed between a write and its sync. The member acknowledges what it has read, so that must be durable.
    await log.sync()
    await syncFolder(files, dataFolder)
    return ok({ storage: createStorage(files, paths, restored.member, log, validLogBytes), restored, cutBytes: size - validLogBytes })
  } catch (error) {
    const name = error instanceof LogDamageError ? 'logDamaged' : 'dataFolderUnusable'
    return err({ code: resultCodes[name].code, message: `data folder ${dataFolder}: ${toMessage(error)}` })
  }
}

const toMessage = (error: unknown): string => error instanceof Error ? error.message : String(error)

async function createFolderIfMissing (files: FileOperations, path: string): Promise<void> {
  try {
    await files.mkdir(path, { mode: 0o700 })
    await syncFolder(files, dirname(path))
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EEXIST') throw error
  }
}

/** @returns null when the folder is new */
async function readFolder (files: FileOperations, paths: DataFolderPaths): Promise<RestoreResult | null> {
  const member = await readFileIfPresent(files, paths.member)
  const log = await readFileIfPresent(files, paths.log)
  const snapshot = await readFileIfPresent(files, paths.snapshot)
  if (member === null) {
    // The first start creates the log before the member id, so a crash in between leaves a log with nothing but its header.
    if (snapshot !== null || (log !== null && !hasHeaderOnly(log))) throw new LogDamageError('the file member-id is missing')
    return null
  }
  if (log === null) throw new LogDamageError('the file control.log is missing')
  return restoreMember({ member: memberId(member.toString('utf8')), log, snapshot })
}

/**
 * Reads the folder and replaces a log that continues an earlier snapshot: its entries may conflict with the snapshot or end before it, and a
 * restart would then drop the entries appended later, or find a gap and take the log for damaged.
 * @returns null when the folder is new
 */
async function readUpToDateFolder (files: FileOperations, paths: DataFolderPaths): Promise<RestoreResult | null> {
  const result = await readFolder(files, paths)
  if (result === null || !result.isLogOutdated) return result
  const { member, vote, snapshot, entries } = result.restored
  const content = encodeLog(member, snapshot?.index ?? 0, vote, entries)
  await replaceFile(files, paths.log, content)
  return { restored: result.restored, validLogBytes: content.length, isLogOutdated: false }
}

function hasHeaderOnly (log: Buffer): boolean {
  return log.length === encodeFrame(buildLogFileHeader(memberId(randomUUID()), 0)).length
}

async function createFiles (files: FileOperations, paths: DataFolderPaths): Promise<RestoreResult> {
  const member = memberId(randomUUID())
  const header = encodeFrame(buildLogFileHeader(member, 0))
  await replaceFile(files, paths.log, header)
  await replaceFile(files, paths.member, Buffer.from(member, 'utf8'))
  const restored: RestoredMember = { member, vote: { term: 0, votedFor: null }, snapshot: null, entries: [] }
  return { restored, validLogBytes: header.length, isLogOutdated: false }
}

function buildLogFileHeader (member: MemberId, snapshotIndex: number): LogFileHeader {
  return { formatVersion: 1, member, snapshotIndex }
}

/** @returns content of a log file that continues a snapshot */
function encodeLog (member: MemberId, snapshotIndex: number, vote: TermVote, entries: LogEntry[]): Buffer {
  const records: DurableRecord[] = [{ kind: 'vote', vote }, { kind: 'entries', entries }]
  return Buffer.concat([encodeFrame(buildLogFileHeader(member, snapshotIndex)), encodeFrame(records)])
}

interface PendingWrite {
  records: DurableRecord[]
  resolve: (result: Result<void, StorageFailure>) => void
}

function createStorage (files: FileOperations, paths: DataFolderPaths, member: MemberId, openedLog: OpenFile, validLogBytes: number): ControlStorage {
  let log = openedLog
  let logEnd = validLogBytes
  let pendingWrites: PendingWrite[] = []
  let activeWrite: Promise<void> | null = null
  let failure: StorageFailure | null = null

  async function writePending (): Promise<void> {
    // Calls of `persist` from the same turn of the event loop join the first batch and share its sync.
    await Promise.resolve()
    while (pendingWrites.length > 0) {
      const batch = pendingWrites
      pendingWrites = []
      const result = await writeBatch(batch.flatMap((write) => write.records))
      for (const write of batch) write.resolve(result)
    }
    activeWrite = null
  }

  async function writeBatch (records: DurableRecord[]): Promise<Result<void, StorageFailure>> {
    if (failure !== null) return err(failure)
    try {
      const lastSnapshot = records.findLastIndex((record) => record.kind === 'snapshot')
      if (lastSnapshot >= 0) await writeSnapshot(records[lastSnapshot] as DurableRecord)
      // A snapshot record contains the whole valid state that the records before it left.
      const laterRecords = records.slice(lastSnapshot + 1)
      if (laterRecords.length > 0) await appendFrame(encodeFrame(laterRecords))
      return ok(undefined)
    } catch (error) {
      // After a failed sync the content of the file is unknown, so all later writes fail too.
      failure = { code: resultCodes.dataFolderUnusable.code, message: `writing ${paths.log}: ${toMessage(error)}` }
      return err(failure)
    }
  }

  async function appendFrame (frame: Buffer): Promise<void> {
    await writeFully(log, frame, logEnd)
    await log.datasync()
    logEnd += frame.length
  }

  async function writeSnapshot (record: DurableRecord): Promise<void> {
    if (record.kind !== 'snapshot') return
    await replaceFile(files, paths.snapshot, encodeFrame(record.snapshot))
    const content = encodeLog(member, record.snapshot.index, record.vote, record.entries)
    await replaceFile(files, paths.log, content)
    await log.close()
    log = await files.open(paths.log, 'r+')
    logEnd = content.length
  }

  return {
    persist: (records) => new Promise((resolve) => {
      pendingWrites.push({ records, resolve })
      activeWrite ??= writePending()
    }),
    close: async () => {
      await activeWrite
      await log.close()
    }
  }
}

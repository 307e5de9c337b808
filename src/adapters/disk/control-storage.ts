import { randomUUID } from 'node:crypto'
import { constants } from 'node:fs/promises'
import { dirname } from 'node:path'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { LogEntry, LogSnapshot, TermVote } from '../../types/consensus-entry.js'
import type { ControlStorage, DurableRecord, RestoredMember, StorageFailure } from '../../types/control-storage.js'
import type { MemberId } from '../../types/ids.js'
import { memberId } from '../../types/ids.js'
import { resultCodes } from '../../types/result-code.js'
import { dataFolderPaths } from './data-folder.js'
import type { DataFolderPaths } from './data-folder.js'
import { readFileIfPresent, replaceFile, syncFolder, temporaryPath, writeFully, writeTemporary } from './durable-file.js'
import type { FileOperations, OpenFile } from './file-operations.js'
import { nodeFileOperations } from './file-operations.js'
import { encodeFrame } from './log-frame.js'
import type { LogFileHeader, RestoreResult } from './restore-member.js'
import { LogDamageError, restoreMember } from './restore-member.js'

/** Errors of the file system after which a later write may succeed: no room, a failed or read-only device, and a lack of descriptors or memory. */
const temporaryErrors: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EIO', 'EROFS', 'EMFILE', 'ENFILE', 'ENOMEM', 'EAGAIN'])

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
 * @param isRetry - whether this process has failed to open the folder before. A sync that failed then may succeed now without having written
 * anything, so the files are written again.
 * @returns `dataFolderUnusable` when the folder can't be read or written; `logDamaged` when its content is damaged, in which case no file was changed
 */
export async function openControlStorage (dataFolder: string, files: FileOperations = nodeFileOperations, isRetry = false): Promise<Result<OpenedControlStorage, StorageFailure>> {
  const paths = dataFolderPaths(dataFolder)
  try {
    await createFolderIfMissing(files, dataFolder)
    await files.access(dataFolder, constants.R_OK | constants.W_OK | constants.X_OK)
    const found = await readFolder(files, paths)
    await removeTemporaryFiles(files, paths)
    const { restored, validLogBytes } = found === null ? await createFiles(files, paths) : await prepareFiles(files, paths, found, isRetry)
    const { log, cutBytes } = await openLog(files, paths.log, validLogBytes)
    return ok({ storage: createStorage(files, paths, restored.member, log, validLogBytes), restored, cutBytes })
  } catch (error) {
    return err(toFailure(error, `data folder ${dataFolder}`))
  }
}

/** Opens the log, cuts off what follows its valid part, and syncs it and its folder. */
async function openLog (files: FileOperations, path: string, validLogBytes: number): Promise<{ log: OpenFile, cutBytes: number }> {
  const log = await files.open(path, 'r+')
  try {
    const { size } = await log.stat()
    if (size > validLogBytes) await log.truncate(validLogBytes)
    // The process before may have been killed between a write and its sync. The member acknowledges what it has read, so that must be durable.
    await log.sync()
    await syncFolder(files, dirname(path))
    return { log, cutBytes: size - validLogBytes }
  } catch (error) {
    await log.close()
    throw error
  }
}

function toFailure (error: unknown, context: string): StorageFailure {
  const name = error instanceof LogDamageError ? 'logDamaged' : 'dataFolderUnusable'
  const message = error instanceof Error ? error.message : String(error)
  const isTemporary = temporaryErrors.has((error as NodeJS.ErrnoException).code ?? '')
  return { code: resultCodes[name].code, message: `${context}: ${message}`, isTemporary }
}

/** Temporary files of a process that was killed, or whose writes failed, may take the room that the next write needs. */
async function removeTemporaryFiles (files: FileOperations, paths: DataFolderPaths): Promise<void> {
  for (const path of Object.values(paths)) await files.remove(temporaryPath(path))
}

async function createFolderIfMissing (files: FileOperations, path: string): Promise<void> {
  try {
    await files.mkdir(path, { mode: 0o700 })
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
 * Replaces a log that continues an earlier snapshot: its entries may conflict with the snapshot or end before it, and a restart would then drop the
 * entries appended later, or find a gap and take the log for damaged.
 * @param isRewriteNeeded - whether to write all files again
 */
async function prepareFiles (files: FileOperations, paths: DataFolderPaths, found: RestoreResult, isRewriteNeeded: boolean): Promise<RestoreResult> {
  if (!found.isLogOutdated && !isRewriteNeeded) return found
  const { member, vote, snapshot, entries } = found.restored
  if (isRewriteNeeded) await replaceFile(files, paths.member, Buffer.from(member, 'utf8'))
  if (isRewriteNeeded && snapshot !== null) await replaceFile(files, paths.snapshot, encodeFrame(snapshot))
  const content = encodeLog(member, snapshot?.index ?? 0, vote, entries)
  await replaceFile(files, paths.log, content)
  return { restored: found.restored, validLogBytes: content.length, isLogOutdated: false }
}

function hasHeaderOnly (log: Buffer): boolean {
  return log.length === encodeFrame(buildLogFileHeader(memberId(randomUUID()), 0)).length
}

async function createFiles (files: FileOperations, paths: DataFolderPaths): Promise<RestoreResult> {
  await syncFolder(files, dirname(dirname(paths.log)))
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
  /** Length of the synced part of the log, in bytes. */
  let logEnd = validLogBytes
  let pendingWrites: PendingWrite[] = []
  let activeWork: Promise<unknown> | null = null
  let failure: StorageFailure | null = null
  /** Whether a file was renamed and the folder not synced since. A sync that follows a failed one may succeed without having written anything. */
  let isFolderUnsynced = false

  async function writePending (): Promise<void> {
    // Calls of `persist` from the same turn of the event loop join the first batch and share its sync.
    await Promise.resolve()
    while (pendingWrites.length > 0) {
      const batch = pendingWrites
      pendingWrites = []
      const result = await writeBatch(batch.flatMap((write) => write.records))
      for (const write of batch) write.resolve(result)
    }
    activeWork = null
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
      // The end of the file is unknown now, and after a failed sync also what the disk holds of it.
      failure = toFailure(error, `writing ${paths.log}`)
      return err(failure)
    }
  }

  async function appendFrame (frame: Buffer): Promise<void> {
    await writeFully(log, frame, logEnd)
    await log.datasync()
    logEnd += frame.length
  }

  /** @param onRenamed - receives the open new file before the folder is synced */
  async function replaceInFolder (path: string, content: Buffer, onRenamed: (file: OpenFile) => Promise<void>): Promise<void> {
    const file = await writeTemporary(files, path, content)
    isFolderUnsynced = true
    try {
      await files.rename(temporaryPath(path), path)
    } catch (error) {
      await file.close()
      throw error
    }
    await onRenamed(file)
    await syncFolder(files, dirname(path))
  }

  async function replaceSnapshotAndLog (snapshot: LogSnapshot | null, vote: TermVote, entries: LogEntry[]): Promise<void> {
    if (snapshot !== null) await replaceInFolder(paths.snapshot, encodeFrame(snapshot), (file) => file.close())
    const content = encodeLog(member, snapshot?.index ?? 0, vote, entries)
    await replaceInFolder(paths.log, content, async (file) => {
      const replaced = log
      log = file
      logEnd = content.length
      await replaced.close()
    })
    isFolderUnsynced = false
  }

  async function writeSnapshot (record: DurableRecord): Promise<void> {
    if (record.kind === 'snapshot') await replaceSnapshotAndLog(record.snapshot, record.vote, record.entries)
  }

  async function recover (): Promise<Result<RestoredMember, StorageFailure>> {
    try {
      await removeTemporaryFiles(files, paths)
      await log.truncate(logEnd)
      // Writes a record without content, since the member must not join while the disk is full. Files are read only after that succeeded.
      if (!isFolderUnsynced) await appendFrame(encodeFrame([]))
      const result = await readFolder(files, paths)
      if (result === null) throw new LogDamageError('the files are missing')
      const { restored } = result
      // The log also continues an earlier snapshot if only the snapshot was renamed.
      if (isFolderUnsynced) await replaceSnapshotAndLog(restored.snapshot, restored.vote, restored.entries)
      failure = null
      return ok(restored)
    } catch (error) {
      failure = toFailure(error, `restoring ${paths.log}`)
      return err(failure)
    }
  }

  return {
    persist: async (records) => {
      // A record of this time is based on what the storage could not write. Queued, it would be written once the storage has recovered.
      if (failure !== null) return err(failure)
      return await new Promise((resolve) => {
        pendingWrites.push({ records, resolve })
        activeWork ??= writePending()
      })
    },
    recover: async () => {
      await activeWork
      const recovery = recover()
      activeWork = recovery.then(() => { activeWork = null })
      return await recovery
    },
    close: async () => {
      await activeWork
      await log.close()
    }
  }
}

import { dirname } from 'node:path'
import type { FileOperations, OpenFile } from './file-operations.js'

/**
 * Syncs a folder, so that files created or renamed in it survive a crash.
 * @throws the error of the file system
 */
export async function syncFolder (files: FileOperations, path: string): Promise<void> {
  const folder = await files.open(path, 'r')
  try {
    await folder.sync()
  } finally {
    await folder.close()
  }
}

/**
 * Writes all bytes at a position of a file.
 * @throws the error of the file system; EIO when it writes nothing without an error
 */
export async function writeFully (file: OpenFile, bytes: Buffer, position: number): Promise<void> {
  let written = 0
  while (written < bytes.length) {
    const { bytesWritten } = await file.write(bytes, written, bytes.length - written, position + written)
    if (bytesWritten === 0) throw Object.assign(new Error('the file system wrote no byte'), { code: 'EIO' })
    written += bytesWritten
  }
}

/** @returns path of the file that holds new content of a file before it is renamed */
export function temporaryPath (path: string): string {
  return `${path}.tmp`
}

/**
 * Writes and syncs new content of a file under its temporary path; an old file there is overwritten.
 * @returns the temporary file, still open
 * @throws the error of the file system
 */
export async function writeTemporary (files: FileOperations, path: string, content: Buffer): Promise<OpenFile> {
  const file = await files.open(temporaryPath(path), 'w', 0o600)
  try {
    await writeFully(file, content, 0)
    await file.sync()
    return file
  } catch (error) {
    await file.close()
    throw error
  }
}

/**
 * Replaces a file atomically: after a crash it has either the old or the new content.
 * @param path - file to replace
 * @throws the error of the file system
 */
export async function replaceFile (files: FileOperations, path: string, content: Buffer): Promise<void> {
  const file = await writeTemporary(files, path, content)
  await file.close()
  await files.rename(temporaryPath(path), path)
  await syncFolder(files, dirname(path))
}

/**
 * @returns the content, or null when there is no such file
 * @throws any other error of the file system
 */
export async function readFileIfPresent (files: FileOperations, path: string): Promise<Buffer | null> {
  try {
    return await files.readFile(path)
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return null
    throw error
  }
}

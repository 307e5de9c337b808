import { access, mkdir, open, readFile, rename, rm } from 'node:fs/promises'

/** An open file. All functions reject with the error of the file system. */
export interface OpenFile {
  /** Writes at a position in bytes; may write fewer bytes than asked. */
  write: (bytes: Buffer, offset: number, length: number, position: number) => Promise<{ bytesWritten: number }>
  /** Sets the length in bytes. */
  truncate: (length: number) => Promise<void>
  sync: () => Promise<void>
  datasync: () => Promise<void>
  /** @returns the length in bytes */
  stat: () => Promise<{ size: number }>
  close: () => Promise<void>
}

/** Functions of the file system that the control storage uses. Tests pass others, whose disk is full, fails or loses power. */
export interface FileOperations {
  open: (path: string, flags: 'r' | 'r+' | 'w', mode?: number) => Promise<OpenFile>
  readFile: (path: string) => Promise<Buffer>
  rename: (from: string, to: string) => Promise<void>
  /** Removes a file; does nothing when there is none. */
  remove: (path: string) => Promise<void>
  mkdir: (path: string, options: { mode: number }) => Promise<unknown>
  access: (path: string, mode: number) => Promise<void>
}

export const nodeFileOperations: FileOperations = {
  open,
  readFile: (path) => readFile(path),
  rename,
  remove: (path) => rm(path, { force: true }),
  mkdir,
  access
}

import { open, readFile, rename } from 'node:fs/promises'
import { dirname } from 'node:path'

/**
 * Syncs a folder, so that files created or renamed in it survive a crash.
 * @throws the error of the file system
 */
export async function syncFolder (path: string): Promise<void> {
  const folder = await open(path, 'r')
  try {
    await folder.sync()
  } finally {
    await folder.close()
  }
}

/**
 * Replaces a file atomically: after a crash it has either the old or the new content.
 * @param path - file to replace; a file of the same name with the suffix .tmp is overwritten
 * @throws the error of the file system
 */
export async function replaceFile (path: string, content: Buffer): Promise<void> {
  const temporary = `${path}.tmp`
  const file = await open(temporary, 'w', 0o600)
  try {
    await file.writeFile(content)
    await file.sync()
  } finally {
    await file.close()
  }
  await rename(temporary, path)
  await syncFolder(dirname(path))
}

/**
 * @returns the content, or null when there is no such file
 * @throws any other error of the file system
 */
export async function readFileIfPresent (path: string): Promise<Buffer | null> {
  try {
    return await readFile(path)
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return null
    throw error
  }
}

import { createHash } from 'node:crypto'

/** @returns SHA-256 of a caller's key as hexadecimal digits, as the manifest stores it */
export function digestKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

import { createHash } from 'node:crypto'
import type { RedactedManifest } from '../types/operator-answer.js'
import type { Manifest } from '../types/manifest.js'

/** 12 hexadecimal digits (48 bits) are enough to tell two digests of one key apart, and too few to serve as a digest. */
const FINGERPRINT_HEX_DIGITS = 12

/** @returns a short value that changes with the digest of a key */
export function fingerprintOf (digest: string): string {
  return createHash('sha256').update(`catkinrelay key ${digest}`).digest('hex').slice(0, FINGERPRINT_HEX_DIGITS)
}

/** @returns the manifest without the digests of its keys */
export function redactManifest (manifest: Manifest): RedactedManifest {
  const workspaces = manifest.workspaces.map((workspace) => ({
    ...workspace,
    keys: workspace.keys.map((key) => ({ id: key.id, fingerprint: fingerprintOf(key.digest) }))
  }))
  return { ...manifest, workspaces }
}

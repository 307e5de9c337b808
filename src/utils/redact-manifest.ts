import { createHash } from 'node:crypto'
import type { RedactedManifest } from '../types/operator-answer.js'
import type { Manifest } from '../types/manifest.js'

/** A fingerprint of 12 hexadecimal digits (48 bits) is long enough to tell two digests of one key apart, and too short to serve as a digest. */
const FINGERPRINT_HEX_DIGITS = 12

/** @returns the fingerprint of a key: a truncated hash of its digest, which shows a change of the digest without revealing it */
export function computeKeyFingerprint (digest: string): string {
  return createHash('sha256').update(`catkinrelay key ${digest}`).digest('hex').slice(0, FINGERPRINT_HEX_DIGITS)
}

/** @returns the manifest with a fingerprint in place of the digest of each key */
export function redactManifest (manifest: Manifest): RedactedManifest {
  const workspaces = manifest.workspaces.map((workspace) => ({
    ...workspace,
    keys: workspace.keys.map((key) => ({ id: key.id, fingerprint: computeKeyFingerprint(key.digest) }))
  }))
  return { ...manifest, workspaces }
}

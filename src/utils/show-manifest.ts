import { createHash } from 'node:crypto'
import type { ShownManifest } from '../types/operator-answer.js'
import type { Manifest } from '../types/manifest.js'

/** 48 bits tell two digests of one key apart and are too few to serve as a digest. */
const FINGERPRINT_LENGTH = 12

/** @returns a short value that changes with the digest of a key */
export function fingerprintOf (digest: string): string {
  return createHash('sha256').update(`catkinrelay key ${digest}`).digest('hex').slice(0, FINGERPRINT_LENGTH)
}

/** @returns the manifest without the digests of its keys */
export function showManifest (manifest: Manifest): ShownManifest {
  const workspaces = manifest.workspaces.map((workspace) => ({
    ...workspace,
    keys: workspace.keys.map((key) => ({ id: key.id, fingerprint: fingerprintOf(key.digest) }))
  }))
  return { ...manifest, workspaces }
}

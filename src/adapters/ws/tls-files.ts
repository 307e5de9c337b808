import { readFileSync } from 'node:fs'

/** TLS key files of one process. */
export interface TlsFiles {
  /** PEM file of the private key. */
  keyFile: string
  /** PEM file of the certificate chain. */
  certificateFile: string
  /** PEM file of the authority that signed the peers' certificates. */
  authorityFile: string
}

/** @returns the contents of the key files in the form that Node's TLS module expects */
export function readTlsFiles (files: TlsFiles): { key: Buffer, cert: Buffer, ca: Buffer } {
  return {
    key: readFileSync(files.keyFile),
    cert: readFileSync(files.certificateFile),
    ca: readFileSync(files.authorityFile)
  }
}

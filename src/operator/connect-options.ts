import { readFileSync } from 'node:fs'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { addressSchema } from '../settings/common-schema.js'
import { loadSettings } from '../settings/load-settings.js'
import { operatorSettingsSchema } from '../settings/operator-settings.js'
import type { OperatorSettings } from '../settings/operator-settings.js'
import type { Address } from '../types/ids.js'
import { address } from '../types/ids.js'
import type { CommandOutput } from './command-output.js'
import { buildBadInputOutput } from './command-output.js'

/** Options of every command that sends requests to control instances, as the command line states them. */
export interface ConnectFlags {
  control?: string[]
  credentialFile?: string
  authorityFile?: string
  settings?: string
}

export interface ConnectOptions {
  addresses: Address[]
  credential: string
  /** PEM text of the certificate authority; null: plain HTTP. */
  authority: string | null
}

function readText (file: string): Result<string, CommandOutput> {
  try {
    return ok(readFileSync(file, 'utf8'))
  } catch (error) {
    return err(buildBadInputOutput(file, [{ path: '', message: (error as Error).message }]))
  }
}

function readCredential (file: string): Result<string, CommandOutput> {
  return readText(file).andThen((text) => {
    const credential = text.trim()
    if (/^[\u0021-\u007e]+$/.test(credential)) return ok(credential)
    return err(buildBadInputOutput(file, [{ path: '', message: 'expected one credential of printable ASCII characters without spaces' }]))
  })
}

function readSettings (file: string | undefined): Result<OperatorSettings, CommandOutput> {
  if (file === undefined) return ok({})
  return loadSettings(file, operatorSettingsSchema).mapErr((problems) => buildBadInputOutput(file, problems))
}

/** Combines the flags with the settings file; a flag overrides the setting. @returns the options, or the output that states what is wrong */
export function resolveConnectOptions (flags: ConnectFlags): Result<ConnectOptions, CommandOutput> {
  return readSettings(flags.settings).andThen((settings) => {
    const addresses = flags.control ?? settings.control ?? []
    const credentialFile = flags.credentialFile ?? settings.credentialFile
    const authorityFile = flags.authorityFile ?? settings.authorityFile
    const invalid = addresses.find((candidate) => !addressSchema.safeParse(candidate).success)
    if (invalid !== undefined) return err(buildBadInputOutput('--control', [{ path: '', message: `${invalid}: expected host:port` }]))
    if (addresses.length === 0) return err(buildBadInputOutput('--control', [{ path: '', message: 'state the address of at least one control instance' }]))
    if (credentialFile === undefined) return err(buildBadInputOutput('--credential-file', [{ path: '', message: 'state the file that holds the operator credential' }]))
    const authority: Result<string | null, CommandOutput> = authorityFile === undefined ? ok(null) : readText(authorityFile)
    return authority.andThen((text) => readCredential(credentialFile).map((credential) => ({ addresses: addresses.map(address), credential, authority: text })))
  })
}

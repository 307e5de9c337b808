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
import { badInput } from './command-output.js'

/** Options of every command that asks a control instance, as given on the command line. */
export interface ConnectFlags {
  control?: string[]
  credentialFile?: string
  authorityFile?: string
  settings?: string
}

export interface ConnectOptions {
  addresses: Address[]
  credential: string
  /** PEM; null: plain HTTP. */
  authority: string | null
}

function readText (file: string): Result<string, CommandOutput> {
  try {
    return ok(readFileSync(file, 'utf8'))
  } catch (error) {
    return err(badInput(file, [{ path: '', message: (error as Error).message }]))
  }
}

function readCredential (file: string): Result<string, CommandOutput> {
  return readText(file).andThen((text) => {
    const credential = text.trim()
    if (/^[\u0021-\u007e]+$/.test(credential)) return ok(credential)
    return err(badInput(file, [{ path: '', message: 'expected one credential of printable ASCII characters without spaces' }]))
  })
}

function readSettings (file: string | undefined): Result<OperatorSettings, CommandOutput> {
  if (file === undefined) return ok({})
  return loadSettings(file, operatorSettingsSchema).mapErr((problems) => badInput(file, problems))
}

/** Joins flags and settings file; flags win. */
export function resolveConnectOptions (flags: ConnectFlags): Result<ConnectOptions, CommandOutput> {
  return readSettings(flags.settings).andThen((settings) => {
    const addresses = flags.control ?? settings.control ?? []
    const credentialFile = flags.credentialFile ?? settings.credentialFile
    const authorityFile = flags.authorityFile ?? settings.authorityFile
    const wrong = addresses.find((given) => !addressSchema.safeParse(given).success)
    if (wrong !== undefined) return err(badInput('--control', [{ path: '', message: `${wrong}: expected host:port` }]))
    if (addresses.length === 0) return err(badInput('--control', [{ path: '', message: 'state the address of at least one control instance' }]))
    if (credentialFile === undefined) return err(badInput('--credential-file', [{ path: '', message: 'state the file that holds the operator credential' }]))
    const authority: Result<string | null, CommandOutput> = authorityFile === undefined ? ok(null) : readText(authorityFile)
    return authority.andThen((text) => readCredential(credentialFile).map((credential) => ({ addresses: addresses.map(address), credential, authority: text })))
  })
}

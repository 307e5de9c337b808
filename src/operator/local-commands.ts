import { randomBytes } from 'node:crypto'
import type { z } from 'zod'
import { wrapLine } from '../reports/text-lines.js'
import { controlSettingsSchema } from '../settings/control-settings.js'
import { entrySettingsSchema } from '../settings/entry-settings.js'
import { loadSettings } from '../settings/load-settings.js'
import { digestKey } from '../utils/digest-key.js'
import type { CommandOutput } from './command-output.js'
import { buildBadInputOutput } from './command-output.js'
import { exitCodes } from './exit-code.js'

/** 240 random bits resist a brute-force search for the key of a digest. They make 40 characters, which fit one line on a phone. */
const KEY_BYTES = 30

/** Creates a key and its digest. No other command prints a key. */
export function createKey (createRandomBytes: (size: number) => Buffer = randomBytes): CommandOutput {
  const key = createRandomBytes(KEY_BYTES).toString('base64url')
  const digest = digestKey(key)
  const lines = [
    ...wrapLine('Key, for the caller; it is not shown again:'),
    key,
    ...wrapLine('Digest, for the manifest:'),
    // The digest has 64 digits. It is not wrapped, so that an operator can copy it as one word.
    digest
  ]
  return { exitCode: exitCodes.done, lines, data: { key, digest } }
}

const schemasByKind = { entry: entrySettingsSchema, control: controlSettingsSchema } as const satisfies Record<string, z.ZodType>

export type SettingsKind = keyof typeof schemasByKind
export const settingsKinds = Object.keys(schemasByKind) as SettingsKind[]

/** Checks a settings file without starting an instance. */
export function checkSettingsFile (file: string, kind: SettingsKind): CommandOutput {
  const settings = loadSettings(file, schemasByKind[kind])
  if (settings.isErr()) return buildBadInputOutput(file, settings.error)
  return { exitCode: exitCodes.done, lines: wrapLine(`${file}: no problems`), data: { file, problems: [] } }
}

import { randomBytes } from 'node:crypto'
import type { z } from 'zod'
import { wrapLine } from '../reports/text-lines.js'
import { controlSettingsSchema } from '../settings/control-settings.js'
import { entrySettingsSchema } from '../settings/entry-settings.js'
import { loadSettings } from '../settings/load-settings.js'
import { digestKey } from '../utils/digest-key.js'
import type { CommandOutput } from './command-output.js'
import { badInput } from './command-output.js'
import { exitCodes } from './exit-code.js'

/** Random bytes of a key: 240 bits can't be found from a digest by trying, and make 40 characters, one line of a phone. */
const KEY_BYTES = 30

/** Makes a key. The key is printed here and nowhere else. */
export function newKeyCommand (random: (size: number) => Buffer = randomBytes): CommandOutput {
  const key = random(KEY_BYTES).toString('base64url')
  const digest = digestKey(key)
  const lines = [
    ...wrapLine('Key, for the caller; it is not shown again:'),
    // The digest has 64 digits and is not wrapped, so that it can be copied as one word.
    key,
    ...wrapLine('Digest, for the manifest:'),
    digest
  ]
  return { exitCode: exitCodes.done, lines, data: { key, digest } }
}

const kinds = { entry: entrySettingsSchema, control: controlSettingsSchema } as const satisfies Record<string, z.ZodType>

export type SettingsKind = keyof typeof kinds
export const settingsKinds = Object.keys(kinds) as SettingsKind[]

/** Checks a settings file without starting an instance. */
export function checkSettingsCommand (file: string, kind: SettingsKind): CommandOutput {
  const settings = loadSettings(file, kinds[kind])
  if (settings.isErr()) return badInput(file, settings.error)
  return { exitCode: exitCodes.done, lines: wrapLine(`${file}: no problems`), data: { file, problems: [] } }
}

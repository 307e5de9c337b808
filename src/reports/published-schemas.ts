import { z } from 'zod'
import { controlSettingsSchema } from '../settings/control-settings.js'
import { entrySettingsSchema } from '../settings/entry-settings.js'
import { manifestSchema } from '../settings/manifest-schema.js'
import { operatorSettingsSchema } from '../settings/operator-settings.js'
import { platformSettingsSchema } from '../settings/platform-settings.js'

/** The keywords of a JSON Schema that the field tables use. */
export interface JsonSchema {
  type?: string
  description?: string
  default?: unknown
  const?: unknown
  enum?: unknown[]
  pattern?: string
  minimum?: number
  exclusiveMinimum?: number
  maximum?: number
  exclusiveMaximum?: number
  properties?: Record<string, JsonSchema>
  required?: string[]
  items?: JsonSchema
}

/** A JSON Schema and the file in `schemas/` that holds it. */
export interface PublishedSchema {
  file: string
  title: string
  schema: JsonSchema
}

function buildPublishedSchema (file: string, title: string, schema: z.ZodType): PublishedSchema {
  // The schema describes the files that people write, in which fields with defaults are optional.
  const { $schema, ...rest } = z.toJSONSchema(schema, { io: 'input' })
  return { file, title, schema: { $schema, title, ...rest } as JsonSchema }
}

/** Schemas that the repository publishes. `npm run docs:tables` writes the files. */
export const publishedSchemas = {
  manifest: buildPublishedSchema('schemas/manifest.schema.json', 'Manifest', manifestSchema),
  entry: buildPublishedSchema('schemas/entry-settings.schema.json', 'Settings of an entry instance', entrySettingsSchema),
  control: buildPublishedSchema('schemas/control-settings.schema.json', 'Settings of a control instance', controlSettingsSchema),
  platform: buildPublishedSchema('schemas/platform-settings.schema.json', 'Settings of a process on the users\' platform', platformSettingsSchema),
  operator: buildPublishedSchema('schemas/operator-settings.schema.json', 'Settings of the command line', operatorSettingsSchema)
}

/** @returns the text of a schema file */
export function formatSchema ({ schema }: PublishedSchema): string {
  return JSON.stringify(schema, null, 2) + '\n'
}

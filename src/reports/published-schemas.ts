import { z } from 'zod'
import { controlSettingsSchema } from '../settings/control-settings.js'
import { entrySettingsSchema } from '../settings/entry-settings.js'
import { manifestSchema } from '../settings/manifest-schema.js'
import { operatorSettingsSchema } from '../settings/operator-settings.js'
import { platformSettingsSchema } from '../settings/platform-settings.js'

/** The part of a JSON Schema that the tables of fields use. */
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

function publish (file: string, title: string, schema: z.ZodType): PublishedSchema {
  // The input side is what people write: fields with defaults are optional there.
  const { $schema, ...rest } = z.toJSONSchema(schema, { io: 'input' })
  return { file, title, schema: { $schema, title, ...rest } as JsonSchema }
}

/** Schemas that the repository publishes; `npm run docs:tables` writes them. */
export const publishedSchemas = {
  manifest: publish('schemas/manifest.schema.json', 'Manifest', manifestSchema),
  entry: publish('schemas/entry-settings.schema.json', 'Settings of an entry instance', entrySettingsSchema),
  control: publish('schemas/control-settings.schema.json', 'Settings of a control instance', controlSettingsSchema),
  platform: publish('schemas/platform-settings.schema.json', 'Settings of a process on the users\' platform', platformSettingsSchema),
  operator: publish('schemas/operator-settings.schema.json', 'Settings of the command line', operatorSettingsSchema)
}

/** @returns the text of a schema file */
export function schemaText ({ schema }: PublishedSchema): string {
  return JSON.stringify(schema, null, 2) + '\n'
}

import { markdownTable } from './markdown-table.js'
import type { JsonSchema } from './published-schemas.js'

/** One field of a manifest or settings file. */
export interface FieldRow {
  /** Path such as `workspaces[].rate`. */
  path: string
  type: string
  /** JSON of the default, `required`, or `-` for a field that may be absent. */
  fallback: string
  description: string
}

function typeText (schema: JsonSchema): string {
  if (schema.const !== undefined) return JSON.stringify(schema.const)
  if (schema.enum !== undefined) return schema.enum.map((value) => JSON.stringify(value)).join(' or ')
  if (schema.type === 'array') return `array of ${schema.items?.type ?? 'values'}s`
  const bounds = [
    ...(schema.exclusiveMinimum === undefined ? [] : [`above ${schema.exclusiveMinimum}`]),
    ...(schema.minimum === undefined ? [] : [`at least ${schema.minimum}`]),
    ...(schema.exclusiveMaximum === undefined ? [] : [`below ${schema.exclusiveMaximum}`]),
    ...(schema.maximum === undefined || schema.maximum === Number.MAX_SAFE_INTEGER ? [] : [`at most ${schema.maximum}`])
  ]
  return [schema.type ?? 'any', ...bounds].join(', ')
}

function fallbackText (schema: JsonSchema, required: boolean): string {
  if (schema.default !== undefined) return `\`${JSON.stringify(schema.default)}\``
  return required ? 'required' : '-'
}

/** @returns one row per field, in the order of the schema */
export function fieldRows (schema: JsonSchema, prefix = ''): FieldRow[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const path = prefix + name
    const row = { path, type: typeText(field), fallback: fallbackText(field, schema.required?.includes(name) ?? false), description: field.description ?? '' }
    const inner = field.items === undefined ? fieldRows(field, `${path}.`) : fieldRows(field.items, `${path}[].`)
    return [row, ...inner]
  })
}

/** @returns a Markdown table of all fields */
export function fieldTable (schema: JsonSchema): string {
  const rows = fieldRows(schema).map(({ path, type, fallback, description }) => [`\`${path}\``, type, fallback, description])
  return markdownTable(['field', 'type', 'default', 'description'], rows)
}

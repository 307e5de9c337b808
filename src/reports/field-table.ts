import { formatMarkdownTable } from './markdown-table.js'
import type { JsonSchema } from './published-schemas.js'

/** One field of a manifest or settings file. */
export interface FieldRow {
  /** Path such as `workspaces[].rate`. */
  path: string
  type: string
  /** JSON of the default, `required`, or `-` for an optional field without a default. */
  fallback: string
  description: string
}

function formatType (schema: JsonSchema): string {
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

function formatFallback (schema: JsonSchema, required: boolean): string {
  if (schema.default !== undefined) return `\`${JSON.stringify(schema.default)}\``
  return required ? 'required' : '-'
}

/** @returns one row per field, nested fields included, in the order of the schema */
export function buildFieldRows (schema: JsonSchema, prefix = ''): FieldRow[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const path = prefix + name
    const row = { path, type: formatType(field), fallback: formatFallback(field, schema.required?.includes(name) ?? false), description: field.description ?? '' }
    const nestedRows = field.items === undefined ? buildFieldRows(field, `${path}.`) : buildFieldRows(field.items, `${path}[].`)
    return [row, ...nestedRows]
  })
}

/** @returns a Markdown table of all fields */
export function formatFieldTable (schema: JsonSchema): string {
  const rows = buildFieldRows(schema).map(({ path, type, fallback, description }) => [`\`${path}\``, type, fallback, description])
  return formatMarkdownTable(['field', 'type', 'default', 'description'], rows)
}

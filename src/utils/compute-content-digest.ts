import { createHash } from 'node:crypto'

/** @returns a copy of the value in which the fields of every object are sorted and undefined fields are left out */
function sortFields (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortFields)
  if (typeof value !== 'object' || value === null) return value
  const entries = Object.entries(value).filter(([, field]) => field !== undefined)
  entries.sort(([left], [right]) => left < right ? -1 : 1)
  return Object.fromEntries(entries.map(([name, field]) => [name, sortFields(field)]))
}

/** @returns SHA-256 of a JSON value as 64 hexadecimal digits; the order of object fields does not matter */
export function computeContentDigest (value: unknown): string {
  return createHash('sha256').update(JSON.stringify(sortFields(value))).digest('hex')
}

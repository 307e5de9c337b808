import type { ColumnValue } from '../../types/outcome.js'

const BOOLEAN_OID = 16
const INT2_OID = 21
const INT4_OID = 23
const OID_OID = 26
const FLOAT4_OID = 700
const FLOAT8_OID = 701

/** Types whose every value is exact as a number. The types int8 and numeric are not, so they stay text. */
const numberOids: ReadonlySet<number> = new Set([INT2_OID, INT4_OID, OID_OID, FLOAT4_OID, FLOAT8_OID])

/** @returns the value of a text-format column of the given type; other types than numbers and booleans stay text */
export function decodeColumnValue (oid: number, text: string | null): ColumnValue {
  if (text === null) return null
  if (oid === BOOLEAN_OID) return text === 't'
  return numberOids.has(oid) ? Number(text) : text
}

/** @returns the text format of a parameter */
export function encodeColumnValue (value: ColumnValue): string | null {
  return value === null ? null : String(value)
}

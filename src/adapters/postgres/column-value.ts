import type { ColumnValue } from '../../types/outcome.js'

const BOOLEAN_OID = 16
const INT2_OID = 21
const INT4_OID = 23
const OID_OID = 26
const FLOAT4_OID = 700
const FLOAT8_OID = 701

/** Types whose values a JavaScript number represents exactly. It can't represent all values of int8 and numeric, so those stay text. */
const numberOids: ReadonlySet<number> = new Set([INT2_OID, INT4_OID, OID_OID, FLOAT4_OID, FLOAT8_OID])

/**
 * Decodes a column in text format.
 * @param oid - OID of the column's type
 * @returns a number or boolean for the types that allow it; the text for all others
 */
export function decodeColumnValue (oid: number, text: string | null): ColumnValue {
  if (text === null) return null
  if (oid === BOOLEAN_OID) return text === 't'
  return numberOids.has(oid) ? Number(text) : text
}

/** @returns a statement parameter in text format */
export function encodeColumnValue (value: ColumnValue): string | null {
  return value === null ? null : String(value)
}

import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Node, ParseError } from 'jsonc-parser'
import jsonc from 'jsonc-parser'

/** Finds the line of a value in a JSON text. */
export type LineOf = (path: readonly PropertyKey[]) => number

export interface ParsedJson {
  value: unknown
  lineOf: LineOf
}

/** Where and why a text is not valid JSON. Contains no part of the text, which may be secret. */
export interface JsonFault {
  /** Line of the fault; the first is 1. */
  line: number
  column: number
  message: string
}

const STRICT_OPTIONS = { disallowComments: true, allowTrailingComma: false, allowEmptyContent: false }

function findLocation (text: string, offset: number): { line: number, column: number } {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: (before.at(-1) ?? '').length + 1 }
}

/** `PropertyNameExpected` becomes `property name expected`. */
function faultMessageOf (error: ParseError): string {
  return jsonc.printParseErrorCode(error.error).replaceAll(/(?!^)([A-Z])/g, ' $1').toLowerCase()
}

/** @returns the name of the first field that an object repeats, or null; `JSON.parse` would silently keep the last value */
function findRepeatedField (node: Node): Node | null {
  const names = new Set<unknown>()
  for (const child of node.children ?? []) {
    const name = child.type === 'property' ? child.children?.[0] : undefined
    if (name !== undefined && names.has(name.value)) return name
    if (name !== undefined) names.add(name.value)
    const repeated = findRepeatedField(child)
    if (repeated !== null) return repeated
  }
  return null
}

function createLineOf (text: string, root: Node): LineOf {
  return (path) => {
    let node: Node = root
    for (const pathSegment of path) {
      const child = jsonc.findNodeAtLocation(node, [typeof pathSegment === 'symbol' ? String(pathSegment) : pathSegment])
      if (child === undefined) break
      node = child
    }
    return findLocation(text, node.offset).line
  }
}

/**
 * Parses JSON strictly: no comments, no trailing commas, no repeated fields.
 * @returns the value and a function that finds the lines of its parts, or the first fault
 */
export function parseJson (text: string): Result<ParsedJson, JsonFault> {
  const errors: ParseError[] = []
  const root = jsonc.parseTree(text, errors, STRICT_OPTIONS)
  const [first] = errors
  if (root === undefined || first !== undefined) {
    return err({ ...findLocation(text, first?.offset ?? 0), message: first === undefined ? 'value expected' : faultMessageOf(first) })
  }
  const repeated = findRepeatedField(root)
  if (repeated !== null) return err({ ...findLocation(text, repeated.offset), message: 'the field is repeated' })
  return ok({ value: jsonc.getNodeValue(root), lineOf: createLineOf(text, root) })
}

/** @returns a JSON fault as one line of text */
export function formatJsonFault (fault: JsonFault): string {
  return `not valid JSON at line ${fault.line}, column ${fault.column}: ${fault.message}`
}

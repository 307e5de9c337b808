import type { ShownManifest } from '../types/operator-answer.js'
import { wrapLine } from './text-lines.js'

export type DiffKind = 'removed' | 'changed' | 'added'

/** One difference between two manifests. Keys appear by id only. */
export interface ManifestDifference {
  kind: DiffKind
  /** What differs, such as `workspace shop` or `workspace shop, key shop-1`. */
  subject: string
  /** Field of a changed subject; null for a whole subject. */
  field: string | null
  from: string | null
  to: string | null
}

type Fields = Record<string, unknown>
/** Subjects of a manifest by name, each with the fields that are compared. */
type Subjects = Map<string, Fields>

const ORDER: DiffKind[] = ['removed', 'changed', 'added']
/** Field of a key that is compared and never shown. */
const HIDDEN = 'fingerprint'

function subjectsOf (manifest: ShownManifest | null): Subjects {
  const subjects: Subjects = new Map()
  for (const { id, ...fields } of manifest?.failureDomains ?? []) subjects.set(`failure domain ${id}`, fields)
  for (const { id, ...fields } of manifest?.groups ?? []) subjects.set(`group ${id}`, fields)
  for (const { id, keys, ...fields } of manifest?.workspaces ?? []) {
    subjects.set(`workspace ${id}`, fields)
    for (const key of keys) subjects.set(`workspace ${id}, key ${key.id}`, { [HIDDEN]: key.fingerprint })
  }
  for (const { name, ...fields } of manifest?.routes ?? []) subjects.set(`route ${name}`, fields)
  return subjects
}

function valueText (value: unknown): string {
  if (value === undefined) return 'none'
  return typeof value === 'string' ? value : JSON.stringify(value)
}

function compareFields (subject: string, from: Fields, to: Fields): ManifestDifference[] {
  const names = [...new Set([...Object.keys(from), ...Object.keys(to)])]
  return names.flatMap((name): ManifestDifference[] => {
    const [before, after] = [valueText(from[name]), valueText(to[name])]
    if (before === after) return []
    if (name === HIDDEN) return [{ kind: 'changed', subject, field: 'digest', from: null, to: null }]
    return [{ kind: 'changed', subject, field: name, from: before, to: after }]
  })
}

function compareSubject (subject: string, from: Fields | undefined, to: Fields | undefined): ManifestDifference[] {
  if (from === undefined) return [{ kind: 'added', subject, field: null, from: null, to: null }]
  if (to === undefined) return [{ kind: 'removed', subject, field: null, from: null, to: null }]
  return compareFields(subject, from, to)
}

/**
 * Compares two manifests by the ids of their parts.
 * @param current - the manifest in force; null: none was committed yet
 * @returns every difference; what is taken away comes first
 */
export function diffManifests (current: ShownManifest | null, next: ShownManifest): ManifestDifference[] {
  const [from, to] = [subjectsOf(current), subjectsOf(next)]
  const names = [...new Set([...from.keys(), ...to.keys()])]
  const differences = names.flatMap((name) => compareSubject(name, from.get(name), to.get(name)))
  return differences.sort((left, right) => ORDER.indexOf(left.kind) - ORDER.indexOf(right.kind))
}

function differenceLines ({ kind, subject, field, from, to }: ManifestDifference): string[] {
  if (kind === 'removed') return wrapLine(`- ${subject}`)
  if (kind === 'added') return wrapLine(`+ ${subject}`)
  const values = from === null ? '' : `: ${from} -> ${to}`
  return [...wrapLine(`~ ${subject}`), ...wrapLine(`  ${field}${values}`)]
}

/** @returns differences as text */
export function diffText (differences: readonly ManifestDifference[]): string[] {
  return differences.length === 0 ? ['no differences'] : differences.flatMap(differenceLines)
}

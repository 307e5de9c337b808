import type { RedactedManifest } from '../types/operator-answer.js'
import { wrapLine } from './text-lines.js'

export type DiffKind = 'removed' | 'changed' | 'added'

/** One difference between two manifests. It shows keys by their ids only. */
export interface ManifestDifference {
  kind: DiffKind
  /** What differs, such as `workspace shop` or `workspace shop, key shop-1`. */
  subject: string
  /** Field of a changed subject; null when a whole subject was added or removed. */
  field: string | null
  from: string | null
  to: string | null
}

type Fields = Record<string, unknown>
/** Subjects of a manifest by name, each with the fields to compare. */
type Subjects = Map<string, Fields>

const KIND_ORDER: DiffKind[] = ['removed', 'changed', 'added']
/** Field of a key that is compared but never shown. A change of it is shown as a change of the digest. */
const FINGERPRINT_FIELD = 'fingerprint'

function buildSubjects (manifest: RedactedManifest | null): Subjects {
  const subjects: Subjects = new Map()
  for (const { id, ...fields } of manifest?.failureDomains ?? []) subjects.set(`failure domain ${id}`, fields)
  for (const { id, ...fields } of manifest?.groups ?? []) subjects.set(`group ${id}`, fields)
  for (const { id, keys, ...fields } of manifest?.workspaces ?? []) {
    subjects.set(`workspace ${id}`, fields)
    for (const key of keys) subjects.set(`workspace ${id}, key ${key.id}`, { [FINGERPRINT_FIELD]: key.fingerprint })
  }
  for (const { name, ...fields } of manifest?.routes ?? []) subjects.set(`route ${name}`, fields)
  return subjects
}

function formatValue (value: unknown): string {
  if (value === undefined) return 'none'
  return typeof value === 'string' ? value : JSON.stringify(value)
}

function compareFields (subject: string, from: Fields, to: Fields): ManifestDifference[] {
  const names = [...new Set([...Object.keys(from), ...Object.keys(to)])]
  return names.flatMap((name): ManifestDifference[] => {
    const [before, after] = [formatValue(from[name]), formatValue(to[name])]
    if (before === after) return []
    if (name === FINGERPRINT_FIELD) return [{ kind: 'changed', subject, field: 'digest', from: null, to: null }]
    return [{ kind: 'changed', subject, field: name, from: before, to: after }]
  })
}

function compareSubject (subject: string, from: Fields | undefined, to: Fields | undefined): ManifestDifference[] {
  if (from === undefined) return [{ kind: 'added', subject, field: null, from: null, to: null }]
  if (to === undefined) return [{ kind: 'removed', subject, field: null, from: null, to: null }]
  return compareFields(subject, from, to)
}

/**
 * Compares the failure domains, groups, workspaces with their keys, and routes of two manifests. Parts with the same id belong together.
 * Session endpoints and session limits are not compared.
 * @param current - the manifest in force; null: none was committed yet
 * @returns every difference of those parts; removals come first
 */
export function diffManifests (current: RedactedManifest | null, next: RedactedManifest): ManifestDifference[] {
  const [from, to] = [buildSubjects(current), buildSubjects(next)]
  const names = [...new Set([...from.keys(), ...to.keys()])]
  const differences = names.flatMap((name) => compareSubject(name, from.get(name), to.get(name)))
  return differences.sort((left, right) => KIND_ORDER.indexOf(left.kind) - KIND_ORDER.indexOf(right.kind))
}

function formatDifference ({ kind, subject, field, from, to }: ManifestDifference): string[] {
  if (kind === 'removed') return wrapLine(`- ${subject}`)
  if (kind === 'added') return wrapLine(`+ ${subject}`)
  const values = from === null ? '' : `: ${from} -> ${to}`
  return [...wrapLine(`~ ${subject}`), ...wrapLine(`  ${field}${values}`)]
}

/** @returns the differences as lines of text */
export function formatDifferences (differences: readonly ManifestDifference[]): string[] {
  return differences.length === 0 ? ['no differences'] : differences.flatMap(formatDifference)
}

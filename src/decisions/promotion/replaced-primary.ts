import type { DatabaseId } from '../../types/ids.js'
import type { PromotionContext } from './promotion-context.js'
import type { PromotionPlan } from './promotion-step.js'

/**
 * Records which primary an election replaces, before the election begins. `begin-election` drops the name, and a leader that starts
 * during the election would wait for the position of a lost primary for ever.
 */
export function recordReplacement ({ effects, findRecord, waitsForReplicas }: PromotionContext, { cause, oldPrimary }: PromotionPlan, term: number): void {
  if (!waitsForReplicas || cause === 'first' || oldPrimary === null) return
  const known = findRecord(({ database }) => database === oldPrimary)
  if (known !== undefined) effects.push({ kind: 'record', database: { ...known, replacedIn: term } })
}

/**
 * Finds the primary that an unfinished election replaces. A record of another term is no evidence: a leader of an earlier version records
 * nothing, and its election may have replaced another primary.
 */
export function findReplacedPrimary ({ view: { group, replicated }, findRecord }: PromotionContext): DatabaseId | null {
  return findRecord((known) => known.group === group && known.replacedIn === replicated.term)?.database ?? null
}

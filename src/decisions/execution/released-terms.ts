import type { ReleasedTerm } from '../../types/control-message.js'
import type { ExecutorParts } from './executor-parts.js'

const WRITE_OPERATION_KINDS: readonly string[] = ['write', 'begin', 'commit', 'statement', 'rollback']

function hasPendingWrite (parts: ExecutorParts): boolean {
  if (parts.durability.size() > 0 || parts.transactions.size() > 0) return true
  return parts.runner.all().some((inFlight) => WRITE_OPERATION_KINDS.includes(inFlight.kind))
}

/**
 * Names the highest term of the group under which no write can be acknowledged any more.
 * A pending write of an earlier term is only answered as not durable, so the directory alone decides about earlier terms.
 */
export function findReleasedTerms (parts: ExecutorParts): ReleasedTerm[] {
  const group = parts.view.group()
  if (group === null) return []
  const isSwitchoverWithoutWrites = group.phase === 'switching' && !hasPendingWrite(parts)
  const term = isSwitchoverWithoutWrites ? group.term : group.term - 1
  return term > 0 ? [{ group: group.group, term }] : []
}

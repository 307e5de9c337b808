import type { ReleasedTerm } from '../../types/control-message.js'
import type { ExecutorParts } from './executor-parts.js'

/** Kinds of operations on write connections. A `statement` belongs to a transaction; reads and writes outside one have kinds of their own. */
const WRITE_OPERATION_KINDS: readonly string[] = ['write', 'begin', 'commit', 'statement', 'rollback']

function hasPendingWrite (parts: ExecutorParts): boolean {
  if (parts.durability.size() > 0 || parts.transactions.size() > 0) return true
  return parts.runner.all().some((inFlight) => WRITE_OPERATION_KINDS.includes(inFlight.kind))
}

/**
 * Finds the highest released term of the group: this instance acknowledges no more writes under it.
 * All terms before the directory's are released, because a pending write of an earlier term can only be refused as not
 * durable. The directory's own term is released during a switchover once no write is pending.
 */
export function findReleasedTerms (parts: ExecutorParts): ReleasedTerm[] {
  const group = parts.view.group()
  if (group === null) return []
  const isSwitchoverWithoutWrites = group.phase === 'switching' && !hasPendingWrite(parts)
  const term = isSwitchoverWithoutWrites ? group.term : group.term - 1
  return term > 0 ? [{ group: group.group, term }] : []
}

import type { DirectoryInstance } from '../../types/directory.js'
import type { FailureDomainId, InstanceId, TransactionId } from '../../types/ids.js'
import { instanceId } from '../../types/ids.js'

/** What the choice of a holder depends on. */
export interface HolderSelectionInput {
  /** The instance that accepted the request. */
  self: InstanceId
  failureDomain: FailureDomainId
  /** Holders of the group. */
  holders: readonly DirectoryInstance[]
  isConnected: (instance: InstanceId) => boolean
  /** @returns requests sent to an instance that have no answer yet */
  countOutstanding: (instance: InstanceId) => number
}

/** Lower is better. */
function computeRank (input: HolderSelectionInput, holder: DirectoryInstance): readonly number[] {
  const isSelf = holder.instance === input.self
  const isReachable = isSelf || input.isConnected(holder.instance)
  const distance = isSelf ? 0 : holder.failureDomain === input.failureDomain ? 1 : 2
  return [isReachable ? 0 : 1, holder.draining ? 1 : 0, distance, input.countOutstanding(holder.instance)]
}

function compareRanks (left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((value, position) => value !== right[position])
  return index < 0 ? 0 : (left[index] ?? 0) - (right[index] ?? 0)
}

/**
 * Picks the holder for a request that belongs to no transaction.
 * @returns an unconnected or draining holder only if there is no other; null when the group has no holder
 */
export function selectHolder (input: HolderSelectionInput): DirectoryInstance | null {
  const ranked = input.holders.map((holder) => ({ holder, rank: computeRank(input, holder) }))
  ranked.sort((left, right) => compareRanks(left.rank, right.rank))
  return ranked[0]?.holder ?? null
}

/**
 * Reads the holder's instance from a transaction id of the form `<instance id>.<random>`.
 * @returns null when the id has another form
 */
export function parseTransactionHolder (id: TransactionId): InstanceId | null {
  const separator = id.lastIndexOf('.')
  return separator > 0 && separator < id.length - 1 ? instanceId(id.slice(0, separator)) : null
}

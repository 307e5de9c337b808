import type { DirectoryInstance } from '../../types/directory.js'
import type { FailureDomainId, InstanceId, TransactionId } from '../../types/ids.js'
import { instanceId } from '../../types/ids.js'

/** Input for the selection of a connection holder. */
export interface HolderSelectionInput {
  /** The instance that accepted the request. */
  self: InstanceId
  failureDomain: FailureDomainId
  /** Connection holders of the group. */
  holders: readonly DirectoryInstance[]
  isConnected: (instance: InstanceId) => boolean
  /** @returns the number of requests sent to an instance that it has not answered yet */
  countInFlight: (instance: InstanceId) => number
}

/**
 * @returns sort keys of a connection holder, most significant first: reachability, draining, distance, requests in flight.
 * Lower is better.
 */
function computeRank (input: HolderSelectionInput, holder: DirectoryInstance): readonly number[] {
  const isSelf = holder.instance === input.self
  const isReachable = isSelf || input.isConnected(holder.instance)
  const distance = isSelf ? 0 : holder.failureDomain === input.failureDomain ? 1 : 2
  return [isReachable ? 0 : 1, holder.draining ? 1 : 0, distance, input.countInFlight(holder.instance)]
}

function compareRanks (left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((value, position) => value !== right[position])
  return index < 0 ? 0 : (left[index] ?? 0) - (right[index] ?? 0)
}

/**
 * Selects the connection holder for a request outside a transaction.
 * @returns an unreachable or draining holder only if there is no other; null when the group has no holder
 */
export function selectHolder (input: HolderSelectionInput): DirectoryInstance | null {
  const ranked = input.holders.map((holder) => ({ holder, rank: computeRank(input, holder) }))
  ranked.sort((left, right) => compareRanks(left.rank, right.rank))
  return ranked[0]?.holder ?? null
}

/**
 * Reads the connection holder from a transaction id of the form `<instance id>.<random>`.
 * @returns the instance that runs the transaction; null when the id has another form
 */
export function parseTransactionHolder (id: TransactionId): InstanceId | null {
  const separator = id.lastIndexOf('.')
  return separator > 0 && separator < id.length - 1 ? instanceId(id.slice(0, separator)) : null
}

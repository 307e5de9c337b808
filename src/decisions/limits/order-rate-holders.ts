import type { InstanceId } from '../../types/ids.js'

/**
 * Orders the rate holders of a workspace for one operation: this instance first, which costs no hop, then the others in rotation, so that
 * their shares are used evenly.
 * @param turn - number of the operation; it rotates the others
 * @param nameOf - name of a holder
 * @returns the holders in the order in which the operation requests a token
 */
export function orderRateHolders<Holder> (instance: InstanceId, holders: readonly Holder[], turn: number, nameOf: (holder: Holder) => InstanceId): Holder[] {
  const own = holders.filter((holder) => nameOf(holder) === instance)
  const others = holders.filter((holder) => nameOf(holder) !== instance)
  const first = turn % Math.max(1, others.length)
  return [...own, ...others.slice(first), ...others.slice(0, first)]
}

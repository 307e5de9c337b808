import type { FailureDomainId, InstanceId } from '../../types/ids.js'

/** A rate holder, or the instance that requests a token. */
export interface LocatedInstance {
  instance: InstanceId
  failureDomain: FailureDomainId
}

/**
 * Orders the rate holders of a workspace for one operation: this instance first, which costs no hop, then those of its failure domain, then
 * the others in rotation. The leader moves the shares to the holders that are asked.
 * @param turn - number of the operation; it rotates holders of equal distance
 * @returns the holders in the order in which the operation requests a token
 */
export function orderRateHolders<Holder extends LocatedInstance> (own: LocatedInstance, holders: readonly Holder[], turn: number): Holder[] {
  const isOwn = ({ instance }: Holder): boolean => instance === own.instance
  const isNear = (holder: Holder): boolean => !isOwn(holder) && holder.failureDomain === own.failureDomain
  const isFar = ({ failureDomain }: Holder): boolean => failureDomain !== own.failureDomain
  return [...holders.filter(isOwn), ...rotate(holders.filter(isNear), turn), ...rotate(holders.filter(isFar), turn)]
}

function rotate<Item> (items: readonly Item[], turn: number): Item[] {
  const first = turn % Math.max(1, items.length)
  return [...items.slice(first), ...items.slice(0, first)]
}

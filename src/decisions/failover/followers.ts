import { addOrder } from './group-context.js'
import type { GroupContext } from './group-context.js'
import { findMember } from './group-view.js'
import type { GroupMember } from './group-view.js'

/**
 * Orders each database of a group, except the primary, to follow the primary. Called while the group is in service.
 * The order is repeated until the status of the database shows that it follows.
 * A former primary that returns gets the same order.
 */
export function orderFollowers (context: GroupContext): void {
  const { view, record, options } = context
  const primary = findMember(view, view.replicated.primary)
  if (primary === undefined) return
  for (const member of view.members) {
    if (member === primary || isFollowing(context, member, primary)) continue
    const lastOrder = record.followOrders.get(member.database)
    const isNew = lastOrder === undefined || lastOrder.term !== view.replicated.term
    if (!isNew && view.now - lastOrder.sentAt < options.followRetryMs) continue
    if (view.now - member.registered.statusAt >= options.databaseSilentMs) continue
    record.followOrders.set(member.database, { term: view.replicated.term, primaryAddress: primary.address, sentAt: view.now })
    addOrder(context, member, { kind: 'follow', term: view.replicated.term, primaryAddress: primary.address })
  }
}

function isFollowing ({ view, record }: GroupContext, member: GroupMember, primary: GroupMember): boolean {
  const { status } = member.registered
  const lastOrder = record.followOrders.get(member.database)
  // A new leader does not know the orders of its predecessor and assumes that the database follows the current address.
  const isAddressKnown = lastOrder === undefined || lastOrder.primaryAddress === primary.address
  return isAddressKnown && status.role === 'replica' && status.term === view.replicated.term
}

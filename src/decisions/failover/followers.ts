import { order } from './group-context.js'
import type { GroupContext } from './group-context.js'
import { memberOf } from './group-view.js'
import type { GroupMember } from './group-view.js'

/**
 * Tells every other database of a group in service to follow the primary, until it says that it does.
 * A former primary that comes back is told in the same way.
 */
export function orderFollowers (context: GroupContext): void {
  const { view, record, options } = context
  const primary = memberOf(view, view.replicated.primary)
  if (primary === undefined) return
  for (const member of view.members) {
    if (member === primary || follows(context, member, primary)) continue
    const last = record.follows.get(member.database)
    const isNew = last === undefined || last.term !== view.replicated.term
    if (!isNew && view.now - last.sentAt < options.followRetryMs) continue
    if (view.now - member.registered.statusAt >= options.databaseSilentMs) continue
    record.follows.set(member.database, { term: view.replicated.term, primaryAddress: primary.address, sentAt: view.now })
    order(context, member, { kind: 'follow', term: view.replicated.term, primaryAddress: primary.address })
  }
}

function follows ({ view, record }: GroupContext, member: GroupMember, primary: GroupMember): boolean {
  const { status } = member.registered
  const last = record.follows.get(member.database)
  // A new leader does not know what was ordered before and takes the word of the database for the current address.
  const isAddressKnown = last === undefined || last.primaryAddress === primary.address
  return isAddressKnown && status.role === 'replica' && status.term === view.replicated.term
}

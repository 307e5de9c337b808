import type { EndedDatabase } from '../../blackboard/control-instance-entries.js'
import type { DatabaseRecord } from '../../types/replicated-state.js'
import type { DatabaseAction, FailoverEffect } from '../failover/failover-message.js'
import type { GroupMember, GroupView } from '../failover/group-view.js'
import type { PromotionTimes } from './promotion-options.js'
import type { PromotionRecord, PromotionStep } from './promotion-step.js'

/** What one call needs to advance a group: its view and state, and the list to which it adds effects. */
export interface PromotionContext {
  view: GroupView
  record: PromotionRecord
  times: PromotionTimes
  /** Whether the databases of the group acknowledge a commit only after a replica has received it. */
  waitsForReplicas: boolean
  /** Databases of the group that have ended and whose log no other database is known to hold. Empty where commits wait for no replica. */
  endedDatabases: readonly EndedDatabase[]
  /** @returns the first record of a database in the replicated log that matches */
  findRecord: (matches: (known: DatabaseRecord) => boolean) => DatabaseRecord | undefined
  effects: FailoverEffect[]
}

/** The step of one kind, such as `Step<'electing'>`. */
export type Step<Kind extends PromotionStep['kind']> = Extract<PromotionStep, { kind: Kind }>

/** Appends an order for one database to the effects. */
export function addOrder ({ view, effects }: PromotionContext, member: Pick<GroupMember, 'database' | 'address'>, action: DatabaseAction): void {
  effects.push({ kind: 'order', order: { group: view.group, database: member.database, address: member.address, leaderTerm: view.leadership.term, sentAt: view.now, action } })
}

/** @returns whether the database is the primary whose loss caused the election */
export function isLostPrimary ({ plan }: Step<'electing'>, { database }: GroupMember): boolean {
  return plan.cause === 'lost' && database === plan.oldPrimary
}

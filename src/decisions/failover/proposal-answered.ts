import type { CommandAnswer } from '../../types/replicated-state.js'
import { electionBegan } from './election.js'
import type { GroupCommand } from './failover-message.js'
import type { GroupContext } from './group-context.js'

/**
 * Takes the answer to a proposal of this leadership.
 * @param answer - null: the log does not say whether the command was committed; the next state of the log tells
 */
export function proposalAnswered (context: GroupContext, command: GroupCommand, answer: CommandAnswer | null): void {
  const { record } = context
  record.proposal = null
  const { step } = record
  if (command.kind !== 'begin-election' || step.kind !== 'beginning' || step.term !== command.term) return
  const isOwn = answer?.kind === 'group-changed' && answer.group.term === command.term
  // Without an accepted proposal the term may belong to another leader.
  if (!isOwn) record.step = { kind: 'idle' }
  else electionBegan(context, step.term, step.plan)
}

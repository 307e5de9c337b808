import type { CommandAnswer } from '../../types/replicated-state.js'
import { startCommittedElection } from './election.js'
import type { GroupCommand } from './failover-message.js'
import type { GroupContext } from './group-context.js'

/**
 * Handles the answer to a proposal of this leadership.
 * @param answer - answer of the log; null if the proposal failed. The log may still have committed the command; its later state shows that.
 */
export function handleProposalAnswer (context: GroupContext, command: GroupCommand, answer: CommandAnswer | null): void {
  const { record } = context
  record.pendingProposal = null
  const { step } = record
  if (command.kind !== 'begin-election' || step.kind !== 'beginning' || step.term !== command.term) return
  const isAccepted = answer?.kind === 'group-changed' && answer.group.term === command.term
  // If the log did not accept the proposal, the term may belong to another leader.
  if (!isAccepted) record.step = { kind: 'idle' }
  else startCommittedElection(context, step.term, step.plan)
}

import type { Result } from 'neverthrow'
import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { WorkspaceId } from '../../types/ids.js'
import type { SessionServices } from '../caller-sessions/session-services.js'
import { hasNotRun } from '../caller-sessions/statement-refusal.js'
import type { StatementLoss, StatementReply } from '../caller-sessions/statement-runner.js'

/**
 * Counts an operation for its workspace if a database began to run its statement. A statement without an answer may have run, so it counts.
 * One that the database could not parse did not begin.
 * @param sentAt - when the statement was sent to the database, or to the instance that holds the connection
 * @returns whether the operation was counted
 */
export function countIfBegan ({ onBegan }: Pick<SessionServices, 'onBegan'>, workspace: WorkspaceId, sentAt: Milliseconds, result: Result<StatementReply, StatementLoss>): boolean {
  if (result.isErr()) {
    onBegan(workspace, sentAt)
    return true
  }
  const { outcome, holderTiming } = result.value.reply
  if (outcome.kind === 'error' && (hasNotRun(outcome.error) || outcome.error === 'malformed')) return false
  onBegan(workspace, addTime(sentAt, holderTiming?.connectionMs ?? 0))
  return true
}

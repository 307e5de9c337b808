/**
 * Stage of a planned stop. A later stage includes what holds in the stages before it.
 * - `none`: no stop was ordered
 * - `announced`: the readiness probe fails and no connection is lent any more; callers are served
 * - `closing`: no caller is accepted, and sessions at rest are closed; open transactions go on
 * - `refusing`: no statement is accepted; what was accepted before is still run and answered
 * - `answering`: statements in progress get their last answer, and all sessions are closed
 * - `over`: the process ends
 */
export type StopStage = 'none' | 'announced' | 'closing' | 'refusing' | 'answering' | 'over'

const STAGES: readonly StopStage[] = ['none', 'announced', 'closing', 'refusing', 'answering', 'over']

/** @returns whether a stop has reached a stage */
export function hasReached (current: StopStage, stage: StopStage): boolean {
  return STAGES.indexOf(current) >= STAGES.indexOf(stage)
}

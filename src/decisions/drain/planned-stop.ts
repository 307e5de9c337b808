import type { Blackboard } from '../../blackboard/blackboard.js'
import { drainingEntry, stopStageEntry } from '../../blackboard/entry-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { StopStage } from '../../types/stop-stage.js'

/** Time until the load balancer reacts to a failing readiness probe, in milliseconds: two probes one second apart. */
const BALANCER_REACTION_MS = 2200
/** Latest begin of each stage, as a fraction of the time between the order to stop and the kill. */
const STAGE_BEGIN = {
  closing: 0.4,
  /** Leaves transactions more than half of the time, and a statement sent before it the longest time that statements usually take. */
  refusing: 0.72,
  /** Falls into the last sixth, so that a database that is slow to answer is not given up early. */
  answering: 0.85,
  /** Leaves time for the exit on a machine on which timers are late. */
  over: 0.95
}

/**
 * @param elapsedMs - time since the order to stop in milliseconds
 * @param limitMs - time between the order to stop and the kill in milliseconds
 * @returns the stage of a stop
 */
export function selectStopStage (elapsedMs: number, limitMs: number): StopStage {
  if (elapsedMs >= limitMs * STAGE_BEGIN.over) return 'over'
  if (elapsedMs >= limitMs * STAGE_BEGIN.answering) return 'answering'
  if (elapsedMs >= limitMs * STAGE_BEGIN.refusing) return 'refusing'
  return elapsedMs >= Math.min(BALANCER_REACTION_MS, limitMs * STAGE_BEGIN.closing) ? 'closing' : 'announced'
}

export interface PlannedStopOptions {
  clock: Clock
  blackboard: Blackboard
}

/** Writes the stages of a planned stop to the blackboard. */
export interface PlannedStop {
  /** Begins the stop. @param limitMs - time until the kill in milliseconds */
  begin: (limitMs: number) => void
  /** Writes the stage that is due. Stages that a late tick has passed over are left out. */
  tick: () => void
  /** @returns time since the stop began in milliseconds; 0 before it */
  elapsedMs: () => number
}

/** Creates the controller of a planned stop that has not begun. */
export function createPlannedStop ({ clock, blackboard }: PlannedStopOptions): PlannedStop {
  const draining = blackboard.claim(drainingEntry, 'planned-stop')
  const stopStage = blackboard.claim(stopStageEntry, 'planned-stop')
  let order: { at: Milliseconds, limitMs: number } | null = null

  const elapsedMs = (): number => order === null ? 0 : clock.now() - order.at

  function tick (): void {
    if (order === null) return
    const stage = selectStopStage(elapsedMs(), order.limitMs)
    if (stage !== stopStage.read()) stopStage.write(stage)
  }

  return {
    begin: (limitMs) => {
      if (order !== null) return
      order = { at: clock.now(), limitMs }
      draining.write(true)
      tick()
    },
    tick,
    elapsedMs
  }
}

import type { Blackboard } from '../../blackboard/blackboard.js'
import { manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { Clock } from '../../types/clock.js'
import type { Controller } from '../../types/controller.js'
import type { IncarnationId, InstanceId, WorkspaceId } from '../../types/ids.js'
import type { Objectives } from '../../types/manifest.js'
import type { FinishedRequest, ServiceLevelAcknowledgement, ServiceLevelIncrement, Tallies } from '../../types/service-level.js'
import { isGood } from './refusal-judgement.js'
import { addTallies, emptyTallies, tallyOf } from './tallies.js'

export interface RequestRecorderOptions {
  clock: Clock
  /** Read for the objectives in force. */
  blackboard: Blackboard
  instance: InstanceId
  incarnation: IncarnationId
  /** Time between increments in milliseconds. Default 10,000: the finest interval that the aggregator keeps. */
  intervalMs?: number
  /** An increment that is not acknowledged for this long is sent again, in milliseconds. Default 15,000: three batches of the leader. */
  resendMs?: number
}

export type RecorderMessage =
  | { kind: 'finished', request: FinishedRequest }
  | { kind: 'received', message: ServiceLevelAcknowledgement }
  /** The instance is shutting down; what was counted so far is sent at once. */
  | { kind: 'flush' }

/** Takes an increment to the control leader. It may be lost; the recorder sends it again. */
export interface RecorderEffect {
  kind: 'send'
  message: ServiceLevelIncrement
}

function tally (request: FinishedRequest, objectives: Objectives): Tallies {
  const tallies = emptyTallies()
  const good = isGood(request.refusal, request.withinRate)
  if (good !== null) tallies.availability = tallyOf(!good)
  // A refusal is fast or slow for reasons that say nothing of how requests are served.
  if (request.refusal !== null) return tallies
  tallies.latency = tallyOf(request.durationMs > objectives.latencyMs)
  if (request.ageMs !== null) tallies.staleness = tallyOf(request.ageMs > objectives.stalenessMs)
  return tallies
}

/**
 * Counts finished requests of one entry instance against the objectives of their workspaces.
 *
 * At most one increment is under way. It is repeated unchanged until it is acknowledged, and later requests wait for
 * the next one, so that a lost message loses no count and a repeated one can be recognized by its number.
 */
export function createRequestRecorder (options: RequestRecorderOptions): Controller<RecorderMessage, RecorderEffect> {
  const { clock, instance, incarnation } = options
  const intervalMs = options.intervalMs ?? 10_000
  const resendMs = options.resendMs ?? 15_000
  const manifest = options.blackboard.reader(manifestEntry)
  let waiting = new Map<WorkspaceId, Tallies>()
  let underWay: ServiceLevelIncrement | null = null
  let sequence = 0
  let sentAt = clock.now()
  let closedAt = clock.now()

  function record (request: FinishedRequest): void {
    const workspace = manifest.read()?.manifest.workspaces.find(({ id }) => id === request.workspace)
    if (workspace?.objectives === undefined) return
    const tallies = tally(request, workspace.objectives)
    waiting.set(workspace.id, addTallies(waiting.get(workspace.id) ?? emptyTallies(), tallies))
  }

  function send (message: ServiceLevelIncrement): RecorderEffect[] {
    sentAt = clock.now()
    return [{ kind: 'send', message }]
  }

  function closeIncrement (): RecorderEffect[] {
    closedAt = clock.now()
    if (waiting.size === 0) return []
    sequence++
    const workspaces = [...waiting].map(([workspace, tallies]) => ({ workspace, tallies }))
    waiting = new Map()
    underWay = { version: 1, kind: 'service-level-increment', instance, incarnation, sequence, workspaces }
    return send(underWay)
  }

  return {
    handle: (message) => {
      if (message.kind === 'finished') record(message.request)
      if (message.kind === 'received' && message.message.incarnation === incarnation && message.message.sequence === underWay?.sequence) underWay = null
      return message.kind === 'flush' && underWay === null ? closeIncrement() : []
    },
    tick: () => {
      const now = clock.now()
      if (underWay !== null) return now - sentAt >= resendMs ? send(underWay) : []
      return now - closedAt >= intervalMs ? closeIncrement() : []
    }
  }
}

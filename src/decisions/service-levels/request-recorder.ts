import type { Blackboard } from '../../blackboard/blackboard.js'
import { manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { Clock } from '../../types/clock.js'
import type { Controller } from '../../types/controller.js'
import type { IncarnationId, InstanceId, WorkspaceId } from '../../types/ids.js'
import type { Objectives } from '../../types/manifest.js'
import type { FinishedRequest, ServiceLevelAcknowledgement, ServiceLevelIncrement, Tallies } from '../../types/service-level.js'
import { isGoodRequest } from './refusal-judgement.js'
import { addTallies, emptyTallies, tallyOf } from './tallies.js'

export interface RequestRecorderOptions {
  clock: Clock
  /** Source of the objectives in force. */
  blackboard: Blackboard
  instance: InstanceId
  incarnation: IncarnationId
  /** Time between increments, in milliseconds. Default: 10,000, the shortest interval in the service-level state. */
  intervalMs?: number
  /** Time after which an unacknowledged increment is sent again, in milliseconds. Default: 15,000, three batches of the leader. */
  resendMs?: number
}

export type RecorderMessage =
  | { kind: 'finished', request: FinishedRequest }
  | { kind: 'received', message: ServiceLevelAcknowledgement }
  /** The instance is shutting down. The recorder sends the pending tallies at once, unless an increment is in flight. */
  | { kind: 'flush' }

/** Sends an increment to the control leader. The message may be lost, since the recorder sends it again. */
export interface RecorderEffect {
  kind: 'send'
  message: ServiceLevelIncrement
}

function tallyRequest (request: FinishedRequest, objectives: Objectives): Tallies {
  const tallies = emptyTallies()
  const good = isGoodRequest(request.refusal, request.withinRate)
  if (good !== null) tallies.availability = tallyOf(!good)
  // The time that a refusal takes does not show how fast requests are served.
  if (request.refusal !== null) return tallies
  tallies.latency = tallyOf(request.durationMs > objectives.latencyMs)
  if (request.ageMs !== null) tallies.staleness = tallyOf(request.ageMs > objectives.stalenessMs)
  return tallies
}

/**
 * Counts finished requests of one entry instance against the objectives of their workspaces.
 *
 * At most one increment is in flight. The recorder repeats it unchanged until it is acknowledged, and tallies later requests
 * for the next increment. A lost message therefore loses no tallies, and a repeated one is recognized by its sequence number.
 */
export function createRequestRecorder (options: RequestRecorderOptions): Controller<RecorderMessage, RecorderEffect> {
  const { clock, instance, incarnation } = options
  const intervalMs = options.intervalMs ?? 10_000
  const resendMs = options.resendMs ?? 15_000
  const manifest = options.blackboard.reader(manifestEntry)
  let pending = new Map<WorkspaceId, Tallies>()
  let inFlight: ServiceLevelIncrement | null = null
  let sequence = 0
  let sentAt = clock.now()
  let lastClosedAt = clock.now()

  function record (request: FinishedRequest): void {
    const workspace = manifest.read()?.manifest.workspaces.find(({ id }) => id === request.workspace)
    if (workspace?.objectives === undefined) return
    const tallies = tallyRequest(request, workspace.objectives)
    pending.set(workspace.id, addTallies(pending.get(workspace.id) ?? emptyTallies(), tallies))
  }

  function send (message: ServiceLevelIncrement): RecorderEffect[] {
    sentAt = clock.now()
    return [{ kind: 'send', message }]
  }

  function closeIncrement (): RecorderEffect[] {
    lastClosedAt = clock.now()
    if (pending.size === 0) return []
    sequence++
    const workspaces = [...pending].map(([workspace, tallies]) => ({ workspace, tallies }))
    pending = new Map()
    inFlight = { version: 1, kind: 'service-level-increment', instance, incarnation, sequence, workspaces }
    return send(inFlight)
  }

  return {
    handle: (message) => {
      if (message.kind === 'finished') record(message.request)
      if (message.kind === 'received' && message.message.incarnation === incarnation && message.message.sequence === inFlight?.sequence) inFlight = null
      return message.kind === 'flush' && inFlight === null ? closeIncrement() : []
    },
    tick: () => {
      const now = clock.now()
      if (inFlight !== null) return now - sentAt >= resendMs ? send(inFlight) : []
      return now - lastClosedAt >= intervalMs ? closeIncrement() : []
    }
  }
}

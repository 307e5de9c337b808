import type { Result } from 'neverthrow'
import type { MeteringTimes } from '../decisions/metering/metering-times.js'
import type { ReportedOutcome, UsageEffect } from '../decisions/metering/usage-controller.js'
import { createUsageController } from '../decisions/metering/usage-controller.js'
import type { Clock } from '../types/clock.js'
import type { ControlLog } from '../types/control-log.js'
import type { EntryToControl, HeartbeatAnswer } from '../types/control-message.js'
import type { LogEvent } from '../types/log-event.js'
import type { UsageCall } from '../types/usage.js'

/** Sends one report to the authority. @returns the status of its answer, or a message when no answer arrived */
export type SendUsage = (call: UsageCall) => Promise<Result<number, string>>

export interface MeteringOptions {
  times: MeteringTimes
  send: SendUsage
  onOutcome: (outcome: ReportedOutcome, windows: number) => void
  /** Called with the number of operations that arrived after their window was closed. */
  onLate: (operations: number) => void
}

export interface UsageReportingOptions extends MeteringOptions {
  /** Monotonic clock of the process. */
  clock: Clock
  log: ControlLog
  logEvent: LogEvent
}

/** Collects usage from entry instances, records it in the control log and reports it to the authority while this member leads. */
export interface UsageReporting {
  receive: (message: EntryToControl) => void
  /** @returns the answer with what metering adds to it */
  addToAnswer: (answer: HeartbeatAnswer) => HeartbeatAnswer
  tick: () => void
}

export function createUsageReporting ({ clock, log, logEvent, times, send, onOutcome, onLate }: UsageReportingOptions): UsageReporting {
  const controller = createUsageController({
    clock,
    times,
    readState: () => log.state().usage,
    recordedInstances: () => log.state().instances,
    logEvent,
    onOutcome,
    onLate
  })
  /** Term in which this member leads; null while it does not. */
  let term: number | null = null
  let barrier: 'needed' | 'proposed' | 'passed' = 'needed'

  function refresh (): void {
    const leadingTerm = log.isLeader() ? log.term() : null
    if (leadingTerm === term) return
    term = leadingTerm
    barrier = 'needed'
    if (term === null) controller.end()
    else controller.begin(term)
  }

  /** A new leader may hold committed records of windows that it has not applied. It must not close or send a window before it has. */
  async function passBarrier (leadingTerm: number): Promise<void> {
    barrier = 'proposed'
    const result = await log.propose({ kind: 'barrier' })
    refresh()
    if (term !== leadingTerm) return
    barrier = result.isOk() ? 'passed' : 'needed'
    if (result.isOk()) controller.establish(leadingTerm)
  }

  async function runEffect (effect: UsageEffect): Promise<void> {
    switch (effect.kind) {
      case 'propose': {
        await log.propose(effect.command)
        return handle({ kind: 'proposed', token: effect.token, command: effect.command })
      }
      case 'confirm': {
        const result = await log.confirmLeadership()
        return handle({ kind: 'confirmed', token: effect.token, attempt: effect.attempt, term: result.unwrapOr(null) })
      }
      case 'send': {
        const answer = await send(effect.call)
        return handle({ kind: 'answered', call: effect.call, status: answer.unwrapOr(null), message: answer.isErr() ? answer.error : '' })
      }
    }
  }

  function handle (message: Parameters<typeof controller.handle>[0]): void {
    refresh()
    runEffects(controller.handle(message))
  }

  function runEffects (effects: UsageEffect[]): void {
    for (const effect of effects) runEffect(effect)
  }

  return {
    receive: (message) => {
      refresh()
      if (message.kind !== 'heartbeat' && message.kind !== 'leave') return
      if (message.usage !== undefined) controller.receive(message, message.usage)
      if (message.kind === 'leave') controller.leave(message.instance)
    },
    addToAnswer: (answer) => {
      refresh()
      const usage = controller.composeAnswer(answer.leaderTerm)
      return usage === null ? answer : { ...answer, usage }
    },
    tick: () => {
      refresh()
      if (term !== null && barrier === 'needed') passBarrier(term)
      runEffects(controller.tick())
    }
  }
}

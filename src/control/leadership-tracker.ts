import type { Blackboard } from '../blackboard/blackboard.js'
import { leadershipEntry } from '../blackboard/control-instance-entries.js'
import type { Clock } from '../types/clock.js'
import type { ControlLog } from '../types/control-log.js'
import { createLeadershipRounds } from './leadership-rounds.js'
import type { LeadershipRounds } from './leadership-rounds.js'

export interface LeadershipTrackerOptions<Item> {
  blackboard: Blackboard
  clock: Clock
  log: ControlLog
  onBegin: (term: number) => void
  /** Called once the state of the log is complete and may be published. */
  onEstablished: () => void
  onEnd: () => void
  onConfirmed: (items: Item[]) => void
  /** Called with items whose confirmation failed, as the leadership ended or no majority confirmed it. */
  onRefused: (items: Item[]) => void
}

/** Tracks whether this member leads, and confirms its leadership for heartbeats. */
export interface LeadershipTracker<Item> {
  /** @returns the term in which this member leads, or null */
  term: () => number | null
  /** @returns whether this leader has applied all log entries of earlier terms */
  isEstablished: () => boolean
  /** Reads role and term from the log, and starts or ends the leadership accordingly. */
  refresh: () => void
  /** Confirms the leadership for an item, in a confirmation round that starts after this call. */
  confirm: (key: string, item: Item) => void
  /** Proposes the barrier again if it failed, and starts a confirmation round for queued items. */
  tick: () => void
}

/** Creates the leadership tracker of one control instance, which writes `leadershipEntry`. */
export function createLeadershipTracker<Item> (options: LeadershipTrackerOptions<Item>): LeadershipTracker<Item> {
  const { blackboard, clock, log, onBegin, onEstablished, onEnd, onConfirmed, onRefused } = options
  const entry = blackboard.claim(leadershipEntry, 'coordinator')
  let rounds: LeadershipRounds<Item> | null = null
  let barrier: 'needed' | 'proposed' | 'passed' = 'needed'

  function term (): number | null {
    return entry.read()?.term ?? null
  }

  function refresh (): void {
    const leadingTerm = log.isLeader() ? log.term() : null
    if (leadingTerm === term()) return
    if (term() !== null) end()
    if (leadingTerm !== null) begin(leadingTerm)
  }

  function begin (leadingTerm: number): void {
    barrier = 'needed'
    entry.write({ term: leadingTerm, since: clock.now() })
    rounds = createLeadershipRounds<Item>({
      clock,
      confirmLeadership: log.confirmLeadership,
      onConfirmed: (items, confirmedTerm) => {
        refresh()
        if (confirmedTerm === leadingTerm && term() === leadingTerm) onConfirmed(items)
        else onRefused(items)
      },
      onRefused: (items) => {
        refresh()
        onRefused(items)
      }
    })
    onBegin(leadingTerm)
    proposeBarrier(leadingTerm)
  }

  function end (): void {
    const unconfirmed = rounds?.stop() ?? []
    rounds = null
    barrier = 'needed'
    entry.write(null)
    onRefused(unconfirmed)
    onEnd()
  }

  /** Proposes a barrier. A new leader may hold committed log entries that it has not applied. Until it has applied them, it must publish nothing. */
  function proposeBarrier (leadingTerm: number): void {
    barrier = 'proposed'
    log.propose({ kind: 'barrier' }).then((result) => handleBarrierResult(leadingTerm, result.isOk()), () => handleBarrierResult(leadingTerm, false))
  }

  function handleBarrierResult (leadingTerm: number, hasPassed: boolean): void {
    refresh()
    if (term() !== leadingTerm) return
    barrier = hasPassed ? 'passed' : 'needed'
    if (hasPassed) onEstablished()
  }

  function tick (): void {
    const leadingTerm = term()
    if (leadingTerm !== null && barrier === 'needed') proposeBarrier(leadingTerm)
    if (barrier === 'passed') rounds?.tick()
  }

  return {
    term,
    isEstablished: () => barrier === 'passed',
    refresh,
    confirm: (key, item) => {
      rounds?.add(key, item)
      if (barrier === 'passed') rounds?.tick()
    },
    tick
  }
}

import type { Blackboard } from '../blackboard/blackboard.js'
import { leadershipEntry } from '../blackboard/control-instance-entries.js'
import type { Clock } from '../types/clock.js'
import type { ControlLog } from '../types/control-log.js'
import { createLeadershipRounds } from './leadership-rounds.js'
import type { LeadershipRounds } from './leadership-rounds.js'

export interface LeadershipOptions<Item> {
  blackboard: Blackboard
  clock: Clock
  log: ControlLog
  onBegin: (term: number) => void
  /** The state of the log is complete; what it says may be published. */
  onEstablished: () => void
  onEnd: () => void
  onConfirmed: (items: Item[]) => void
  /** The items can not be confirmed, as the leadership ended or is in doubt. */
  onRefused: (items: Item[]) => void
}

/** Follows whether this member leads, and proves it for heartbeats. */
export interface LeadershipFollower<Item> {
  /** @returns the term that this member leads, or null */
  term: () => number | null
  isEstablished: () => boolean
  /** Compares with the log. */
  refresh: () => void
  /** Confirms the leadership for an item in a round that begins after this call. */
  confirm: (key: string, item: Item) => void
  tick: () => void
}

/** Creates the follower; it writes `leadershipEntry`. */
export function createLeadership<Item> (options: LeadershipOptions<Item>): LeadershipFollower<Item> {
  const { blackboard, clock, log, onBegin, onEstablished, onEnd, onConfirmed, onRefused } = options
  const entry = blackboard.claim(leadershipEntry, 'coordinator')
  let rounds: LeadershipRounds<Item> | null = null
  let barrier: 'needed' | 'proposed' | 'passed' = 'needed'

  function term (): number | null {
    return entry.read()?.term ?? null
  }

  function refresh (): void {
    const leading = log.isLeader() ? log.term() : null
    if (leading === term()) return
    if (term() !== null) end()
    if (leading !== null) begin(leading)
  }

  function begin (leading: number): void {
    barrier = 'needed'
    entry.write({ term: leading, since: clock.now() })
    rounds = createLeadershipRounds<Item>({
      clock,
      confirmLeadership: log.confirmLeadership,
      onConfirmed: (items, confirmed) => {
        refresh()
        if (confirmed === leading && term() === leading) onConfirmed(items)
        else onRefused(items)
      },
      onRefused: (items) => {
        refresh()
        onRefused(items)
      }
    })
    onBegin(leading)
    passBarrier(leading)
  }

  function end (): void {
    const unanswered = rounds?.stop() ?? []
    rounds = null
    barrier = 'needed'
    entry.write(null)
    onRefused(unanswered)
    onEnd()
  }

  /** A new leader may have entries that are committed and not yet applied; nothing may be published from the state before them. */
  function passBarrier (leading: number): void {
    barrier = 'proposed'
    log.propose({ kind: 'barrier' }).then((result) => barrierAnswered(leading, result.isOk()), () => barrierAnswered(leading, false))
  }

  function barrierAnswered (leading: number, passed: boolean): void {
    refresh()
    if (term() !== leading) return
    barrier = passed ? 'passed' : 'needed'
    if (passed) onEstablished()
  }

  function tick (): void {
    const leading = term()
    if (leading !== null && barrier === 'needed') passBarrier(leading)
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

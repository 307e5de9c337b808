import type { Result } from 'neverthrow'
import type { Clock } from '../types/clock.js'
import type { ControlLogFailure } from '../types/control-log.js'

/** Shortest time between the starts of two rounds, in ms. It bounds the rounds at 710 instances with 1,420 heartbeats/s. */
const ROUND_PAUSE_MS = 10

export interface LeadershipRoundsOptions<Item> {
  clock: Clock
  confirmLeadership: () => Promise<Result<number, ControlLogFailure>>
  /** Called with the items of a confirmed round and the confirmed term. */
  onConfirmed: (items: Item[], term: number) => void
  onRefused: (items: Item[]) => void
}

/** Confirms the leadership for batches of items. */
export interface LeadershipRounds<Item> {
  /** Adds an item; it is confirmed by a round that begins after this call. It waits for a tick. An item with the same key replaces the former one. */
  add: (key: string, item: Item) => void
  /** Starts a round for items that wait. */
  tick: () => void
  /** Ends the use of these rounds; answers of a round under way are dropped. @returns the items that were not answered */
  stop: () => Item[]
}

/** Creates the rounds of one leadership. */
export function createLeadershipRounds<Item> (options: LeadershipRoundsOptions<Item>): LeadershipRounds<Item> {
  const { clock, confirmLeadership, onConfirmed, onRefused } = options
  let waiting = new Map<string, Item>()
  let underWay: Map<string, Item> | null = null
  let lastStart = -Infinity
  let stopped = false

  function tick (): void {
    if (underWay !== null || waiting.size === 0 || stopped || clock.now() - lastStart < ROUND_PAUSE_MS) return
    const batch = waiting
    waiting = new Map()
    underWay = batch
    lastStart = clock.now()
    confirmLeadership().then((result) => finish(batch, result), () => finish(batch, null))
  }

  function finish (batch: Map<string, Item>, result: Result<number, ControlLogFailure> | null): void {
    if (stopped) return
    underWay = null
    if (result?.isOk() === true) onConfirmed([...batch.values()], result.value)
    else onRefused([...batch.values()])
    tick()
  }

  return {
    add: (key, item) => { waiting.set(key, item) },
    tick,
    stop: () => {
      stopped = true
      return [...(underWay?.values() ?? []), ...waiting.values()]
    }
  }
}

import type { Result } from 'neverthrow'
import type { Clock } from '../types/clock.js'
import type { ControlLogFailure } from '../types/control-log.js'

/** Minimum time between the starts of two rounds, in ms. It bounds the number of rounds when 710 instances send 1,420 heartbeats/s. */
const MIN_ROUND_INTERVAL_MS = 10

export interface LeadershipRoundsOptions<Item> {
  clock: Clock
  confirmLeadership: () => Promise<Result<number, ControlLogFailure>>
  /** Called with the items of a round and the term that the round confirmed. */
  onConfirmed: (items: Item[], term: number) => void
  /** Called with the items of a round that no majority confirmed. */
  onRefused: (items: Item[]) => void
}

/** Confirms the leadership for batches of items, one batch at a time. */
export interface LeadershipRounds<Item> {
  /** Queues an item for the next round, which a tick or the end of the present round starts. An item replaces a queued item with the same key. */
  add: (key: string, item: Item) => void
  /** Starts a confirmation round for the queued items, unless a round is in flight or the last one started too recently. */
  tick: () => void
  /** Stops the rounds and ignores the result of a round in flight. @returns the items that are in flight or queued */
  stop: () => Item[]
}

/** Creates the confirmation rounds of one leadership. */
export function createLeadershipRounds<Item> (options: LeadershipRoundsOptions<Item>): LeadershipRounds<Item> {
  const { clock, confirmLeadership, onConfirmed, onRefused } = options
  let queued = new Map<string, Item>()
  let inFlight: Map<string, Item> | null = null
  let lastStartedAt = -Infinity
  let isStopped = false

  function tick (): void {
    if (inFlight !== null || queued.size === 0 || isStopped || clock.now() - lastStartedAt < MIN_ROUND_INTERVAL_MS) return
    const batch = queued
    queued = new Map()
    inFlight = batch
    lastStartedAt = clock.now()
    confirmLeadership().then((result) => finish(batch, result), () => finish(batch, null))
  }

  function finish (batch: Map<string, Item>, result: Result<number, ControlLogFailure> | null): void {
    if (isStopped) return
    inFlight = null
    if (result?.isOk() === true) onConfirmed([...batch.values()], result.value)
    else onRefused([...batch.values()])
    tick()
  }

  return {
    add: (key, item) => { queued.set(key, item) },
    tick,
    stop: () => {
      isStopped = true
      return [...(inFlight?.values() ?? []), ...queued.values()]
    }
  }
}

import type { Metrics, SlotQueueSample } from '../adapters/metrics/create-metrics.js'
import type { ConnectionLending } from '../decisions/caller-sessions/connection-lending.js'
import type { SessionPool } from '../decisions/caller-sessions/session-pool.js'
import type { PeerCallChannels } from './peer-calls.js'

/** State of a session instance that its gauges show. */
export interface SessionGauges {
  manifestVersion: number
  isFresh: boolean
  pool: Pick<SessionPool, 'counts'>
  lending: Pick<ConnectionLending, 'count'>
  calls: Pick<PeerCallChannels, 'countOpen'>
  slotQueues: ReadonlyMap<string, SlotQueueSample>
}

/** Sets the gauges of a session instance to its present state. */
export function setSessionGauges (metrics: Pick<Metrics, 'setGauge' | 'setSlotQueues'>, { manifestVersion, isFresh, pool, lending, calls, slotQueues }: SessionGauges): void {
  const { open, idle, waiting } = pool.counts()
  metrics.setGauge('manifest_version', manifestVersion)
  metrics.setGauge('fresh', isFresh ? 1 : 0)
  metrics.setGauge('database_connections', open)
  metrics.setGauge('idle_database_connections', idle)
  metrics.setGauge('waiting_for_connection', waiting)
  metrics.setSlotQueues(slotQueues)
  metrics.setGauge('lent_connections', lending.count())
  metrics.setGauge('peer_channels', calls.countOpen())
}

import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import type { ClientLimitCause } from '../../types/client-limit-cause.js'
import type { RunState } from '../../types/outcome.js'

/** Workspaces that get a label of their own. All others share the label `other`, which bounds the number of time series. */
const MAX_WORKSPACE_LABELS = 100
const LATENCY_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5]
const MS_PER_SECOND = 1000

/** Measurements of one finished request. */
export interface RequestSample {
  workspace: string | null
  /** Result code; 0 for a success. */
  code: number
  outcome: RunState
  /** Role of the database that answered; null when none did. */
  servedBy: 'primary' | 'replica' | null
  durationMs: number
}

/** Queue of one database at this instance. */
export interface SlotQueueSample {
  /** Waiting statements by priority; those of open transactions have the priority -Infinity. */
  waitingByPriority: ReadonlyMap<number, number>
  inFlight: number
  limit: number
}

export interface Metrics {
  observeRequest: (sample: RequestSample) => void
  /** Counts a connection that a database refused because it has too many. */
  countRejectedConnection: () => void
  /** Counts windows of metering. @param outcome - `reported`, `late` or `left-out` */
  countUsageWindows: (outcome: string, windows: number) => void
  /** Counts operations that no usage report contains, as they arrived after their window was closed. */
  countLateUsage: (operations: number) => void
  /** Counts an operation that was refused by rate. @param isLocal - whether no rate holder was asked for it */
  countRateRefusal: (isLocal: boolean) => void
  /** Counts an operation that got no slot of a database. @param cause - see `SlotRefusalCause` */
  countSlotRefusal: (database: string, cause: string) => void
  /** Sets the gauges of the slots of all databases, and removes those of databases that are not given. */
  setSlotQueues: (queues: ReadonlyMap<string, SlotQueueSample>) => void
  /** Counts a connection of a client that a limit closed or refused. */
  countLimitedClient: (cause: ClientLimitCause) => void
  /** Sets the current value of a gauge. */
  setGauge: (name: GaugeName, value: number) => void
  /** Sets the share of reads that leave the failure domain, by group. Groups that are not listed are removed. */
  setCrossDomainShares: (shares: ReadonlyMap<string, number>) => void
  /** @returns the metrics in the text format of Prometheus, and its content type */
  render: () => Promise<{ contentType: string, text: string }>
}

const gaugeHelp = {
  manifest_version: 'Version of the manifest in force',
  fresh: '1 while the freshness lease holds',
  active_requests: 'Requests and transactions that this instance executes as holder',
  database_connections: 'Open connections to databases for sessions of callers',
  idle_database_connections: 'Connections to databases that no session uses',
  lent_connections: 'Connections to databases that other instances have borrowed',
  waiting_for_connection: 'Operations that wait for a connection to a database',
  leads: '1 while this member leads the control log',
  peer_channels: 'Open channels to other instances'
} as const

export type GaugeName = keyof typeof gaugeHelp

/** Creates the metrics of one instance in a registry of their own. */
export function createMetrics (): Metrics {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry })
  const registers = [registry]
  const requests = new Counter({ name: 'catkinrelay_requests_total', help: 'Requests by workspace, result code and run state', labelNames: ['workspace', 'code', 'outcome', 'served_by'], registers })
  const requestDuration = new Histogram({ name: 'catkinrelay_request_seconds', help: 'Duration of requests', labelNames: ['outcome'], buckets: LATENCY_BUCKETS_SECONDS, registers })
  const rejectedConnections = new Counter({ name: 'catkinrelay_rejected_connections_total', help: 'Connections that a database refused because it has too many', registers })
  const usageWindows = new Counter({ name: 'catkinrelay_usage_windows_total', help: 'Windows of metering by outcome of their report', labelNames: ['outcome'], registers })
  const lateUsage = new Counter({ name: 'catkinrelay_late_usage_operations_total', help: 'Operations that arrived after their window of metering was closed', registers })
  const rateRefusals = new Counter({ name: 'catkinrelay_rate_refusals_total', help: 'Operations refused by rate, by whether a rate holder was asked for them', labelNames: ['decided_by'], registers })
  const slotRefusals = new Counter({ name: 'catkinrelay_slot_refusals_total', help: 'Operations that this instance refused for want of a slot or connection of a database', labelNames: ['database', 'cause'], registers })
  const slotQueue = new Gauge({ name: 'catkinrelay_slot_queue', help: 'Statements that wait for a slot of a database; those of open transactions have the priority transaction', labelNames: ['database', 'priority'], registers })
  const slotLimit = new Gauge({ name: 'catkinrelay_slot_limit', help: 'Statements that this instance may have in flight at a database', labelNames: ['database'], registers })
  const slotsInFlight = new Gauge({ name: 'catkinrelay_slots_in_flight', help: 'Statements that this instance has in flight at a database', labelNames: ['database'], registers })
  const limitedClients = new Counter({ name: 'catkinrelay_limited_clients_total', help: 'Connections of clients that a limit closed or refused', labelNames: ['cause'], registers })
  const gauges = new Map(Object.entries(gaugeHelp).map(([name, help]) => [name, new Gauge({ name: `catkinrelay_${name}`, help, registers })]))
  const crossDomainShares = new Gauge({ name: 'catkinrelay_cross_domain_read_share', help: 'Share of the reads of a group that leave the failure domain although a database there could serve them', labelNames: ['group'], registers })
  const knownLabels = new Set<string>()

  function selectWorkspaceLabel (workspace: string | null): string {
    if (workspace === null) return 'none'
    if (knownLabels.has(workspace)) return workspace
    if (knownLabels.size >= MAX_WORKSPACE_LABELS) return 'other'
    knownLabels.add(workspace)
    return workspace
  }

  function setSlotQueues (queues: ReadonlyMap<string, SlotQueueSample>): void {
    for (const gauge of [slotQueue, slotLimit, slotsInFlight]) gauge.reset()
    for (const [database, { waitingByPriority, inFlight, limit }] of queues) {
      slotLimit.set({ database }, limit)
      slotsInFlight.set({ database }, inFlight)
      for (const [priority, count] of waitingByPriority) slotQueue.set({ database, priority: Number.isFinite(priority) ? String(priority) : 'transaction' }, count)
    }
  }

  return {
    observeRequest: ({ workspace, code, outcome, servedBy, durationMs }) => {
      requests.inc({ workspace: selectWorkspaceLabel(workspace), code: String(code), outcome, served_by: servedBy ?? 'none' })
      requestDuration.observe({ outcome }, durationMs / MS_PER_SECOND)
    },
    countSlotRefusal: (database, cause) => { slotRefusals.inc({ database, cause }) },
    setSlotQueues,
    countRejectedConnection: () => { rejectedConnections.inc() },
    countUsageWindows: (outcome, windows) => { usageWindows.inc({ outcome }, windows) },
    countLateUsage: (operations) => { lateUsage.inc(operations) },
    countRateRefusal: (isLocal) => { rateRefusals.inc({ decided_by: isLocal ? 'instance' : 'holder' }) },
    countLimitedClient: (cause) => { limitedClients.inc({ cause }) },
    setGauge: (name, value) => { gauges.get(name)?.set(value) },
    setCrossDomainShares: (shares) => {
      crossDomainShares.reset()
      for (const [group, share] of shares) crossDomainShares.set({ group }, share)
    },
    render: async () => ({ contentType: registry.contentType, text: await registry.metrics() })
  }
}

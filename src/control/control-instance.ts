import type { OperatorServer } from '../adapters/http/operator-server.js'
import { listenForOperators } from '../adapters/http/operator-server.js'
import { createDatabaseOrders } from '../adapters/postgres/database-orders.js'
import { computeBurn } from '../decisions/service-levels/compute-burn.js'
import { renderBurnPage } from '../reports/render-burn-page.js'
import { createIncidentCollector } from '../reports/incident-collector.js'
import type { ControlSettings } from '../settings/control-settings.js'
import type { Clock } from '../types/clock.js'
import type { StorageFailure } from '../types/control-storage.js'
import type { LogEvent } from '../types/log-event.js'
import type { BurnReport } from '../types/operator-report.js'
import type { Random } from '../utils/create-random.js'
import type { ControlCore } from './control-core.js'
import { startControlCore } from './control-core.js'
import type { OperatorService } from './operator-service.js'
import { createOperatorService } from './operator-service.js'

export interface ControlInstanceOptions {
  settings: ControlSettings
  clock: Clock
  random: Random
  logEvent: LogEvent
  /** @returns the time of day; default: the clock of the operating system */
  timeOfDay?: () => Date
  /** Called once when the data folder can't be used any more, as it is damaged or gone; the instance no longer takes part in the log. Default: nothing. */
  onFailure?: (failure: StorageFailure) => void
}

export interface ControlInstance {
  readonly operatorPort: number
  isLeader: () => boolean
  /** @returns bytes of messages between control members sent so far */
  sentMemberBytes: () => number
  /** Closes all connections and the files of the data folder. */
  stop: () => Promise<void>
  reloadTls: () => void
}

function callAfter (durationMs: number, callback: () => void): () => void {
  const timer = setTimeout(callback, durationMs)
  return () => { clearTimeout(timer) }
}

/**
 * Starts a control instance.
 * @throws VError when its data folder can't be used or it can't listen on one of its addresses
 */
export async function startControlInstance (options: ControlInstanceOptions): Promise<ControlInstance> {
  const { settings, clock, random } = options
  const timeOfDay = options.timeOfDay ?? (() => new Date())
  const incidents = createIncidentCollector({ timeOfDay })
  const logEvent: LogEvent = (name, details) => {
    incidents.note(name, details)
    options.logEvent(name, details)
  }
  const core: ControlCore = await startControlCore({
    instance: settings.instance,
    listen: settings.listen,
    ownAddress: settings.ownAddress,
    members: settings.members,
    dataFolder: settings.dataFolder,
    clusterSecret: settings.clusterSecret,
    tls: settings.tls ?? null,
    clock,
    random,
    logEvent,
    timeOfDay,
    onFailure: (failure) => { options.onFailure?.(failure) },
    coordination: {
      orders: createDatabaseOrders({ credentials: { user: settings.database.user, password: settings.database.password, database: settings.database.databaseName } })
    }
  })
  const service: OperatorService = createOperatorService({
    instance: settings.instance,
    log: core.log,
    summary: core.coordinator.summary,
    burn: ({ manifest, serviceLevels: counts }) => manifest === null ? { rows: [], withoutObjectives: [], lostIncrements: 0 } : computeBurn(manifest, counts, timeOfDay().getTime()),
    incidents: incidents.list,
    after: callAfter,
    timeOfDay,
    logEvent
  })
  const operatorServer: OperatorServer = await listenForOperators({
    ...settings.operators,
    tls: settings.operatorsTls ?? null,
    manifestBytes: settings.manifestBytes,
    operators: settings.operatorCredentials,
    requests: { ...service, page: async () => renderBurnPage(await service.report('burn') as BurnReport) },
    logEvent
  })
  logEvent('started', { listen: core.port, operators: operatorServer.port })

  return {
    operatorPort: operatorServer.port,
    isLeader: core.log.isLeader,
    sentMemberBytes: core.sentMemberBytes,
    stop: async () => { await Promise.all([core.stop(), operatorServer.close()]) },
    reloadTls: () => {
      core.reloadTls()
      operatorServer.reloadTls()
      logEvent('settingsReloaded')
    }
  }
}

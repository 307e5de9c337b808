import { err, ok } from 'neverthrow'
import type { OperatorService, OperatorServiceOptions } from '../../src/control/operator-service.js'
import { createOperatorService } from '../../src/control/operator-service.js'
import type { OperatorServerOptions } from '../../src/adapters/http/operator-server.js'
import { listenForOperators } from '../../src/adapters/http/operator-server.js'
import { renderBurnPage } from '../../src/reports/render-burn-page.js'
import type { ControlLog, ControlLogFailure } from '../../src/types/control-log.js'
import type { ControlSummary, InstanceSummary } from '../../src/types/control-summary.js'
import { address, databaseId, failureDomainId, groupId, instanceId, keyId, workspaceId } from '../../src/types/ids.js'
import type { Manifest } from '../../src/types/manifest.js'
import type { BurnReport } from '../../src/types/operator-report.js'
import type { CommandAnswer, ReplicatedState } from '../../src/types/replicated-state.js'
import { digestKey } from '../../src/utils/digest-key.js'
import { createEmptyServiceLevels } from '../../src/types/service-level.js'

export const CREDENTIAL = 'operator-credential-0001'
export const KEY_DIGEST = digestKey('caller key')
/** The longest name that a manifest may contain. */
export const LONG_NAME = 'a'.repeat(63)

export const manifest: Manifest = {
  formatVersion: 1,
  failureDomains: [{ id: failureDomainId('north'), state: 'in' }, { id: failureDomainId(LONG_NAME), state: 'out' }],
  groups: [{ id: groupId('group-1'), slots: 5, connections: 30 }],
  workspaces: [{ id: workspaceId(LONG_NAME), group: groupId('group-1'), rate: 10, burst: 5, weight: 1, keys: [{ id: keyId('shop-1'), digest: KEY_DIGEST }] }],
  routes: []
}

export function instanceSummary (name: string, provenMsAgo: number, manifestVersion = 1): InstanceSummary {
  return { instance: instanceId(name), failureDomain: failureDomainId('north'), draining: false, manifestVersion, provenMsAgo }
}

export function controlSummary (instances: InstanceSummary[] = []): ControlSummary {
  return {
    leaderTerm: 7,
    manifestVersion: 1,
    instances,
    groups: [{ group: groupId(LONG_NAME), term: 3, primary: null, phase: 'electing', holders: [instanceId(LONG_NAME)], lastFailover: { planned: false, gapMs: 2400, endedMsAgo: 61_000 } }],
    databases: [{ database: databaseId(LONG_NAME), group: groupId('group-1'), failureDomain: failureDomainId(LONG_NAME), role: 'primary', departing: false, weight: 1, silentForMs: 9000 }]
  }
}

export interface FakeLog extends ControlLog {
  /** Failure of all following calls; null: they succeed. */
  fail: ControlLogFailure | 'silent' | null
  /** Whether the log applies a commit although the call fails. */
  applyOnFailure: boolean
}

/** Creates a log of one member that accepts a commit only on the current manifest version (compare and set, design section 5.2). */
export function createFakeLog (): FakeLog {
  const state: ReplicatedState = { manifestVersion: 0, manifest: null, acceptedDigests: [], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], groups: [], serviceLevels: createEmptyServiceLevels() }
  function apply (base: number, next: Manifest, digest: string, operator: string): CommandAnswer {
    const existing = state.acceptedDigests.find(({ version }) => version === base + 1)
    if (existing?.digest === digest) return { kind: 'manifest-accepted', manifestVersion: base + 1, resent: true }
    const winner = existing ?? state.acceptedDigests.at(-1)
    if (base !== state.manifestVersion) return { kind: 'manifest-conflict', currentVersion: state.manifestVersion, winningDigest: winner?.digest ?? '', winningOperator: winner?.operator ?? '' }
    state.manifestVersion = base + 1
    state.manifest = next
    state.acceptedDigests.push({ version: base + 1, digest, operator })
    return { kind: 'manifest-accepted', manifestVersion: base + 1, resent: false }
  }
  const log: FakeLog = {
    fail: null,
    applyOnFailure: false,
    isLeader: () => log.fail === null,
    memberAddresses: () => [],
    provenMsAgo: () => null,
    leaderAddress: () => log.fail === null ? address('127.0.0.1:1') : null,
    term: () => 7,
    state: () => state,
    propose: async (command) => {
      if (command.kind !== 'commit-manifest') throw new TypeError('not used by operators')
      const applied = log.fail === null || log.applyOnFailure ? apply(command.base, command.manifest, command.digest, command.operator) : null
      if (log.fail === 'silent') return await new Promise(() => {})
      if (log.fail !== null) return err(log.fail)
      if (applied === null) throw new TypeError('the command was not applied')
      return ok(applied)
    },
    confirmLeadership: async () => {
      if (log.fail === 'silent') return await new Promise(() => {})
      return log.fail === null ? ok(7) : err(log.fail)
    },
    onChange: () => {}
  }
  return log
}

/** Creates a service whose time-outs pass at once, so that a test of an unresponsive majority need not wait. */
export function createTestService (log: ControlLog, changed: Partial<OperatorServiceOptions> = {}): OperatorService {
  return createOperatorService({
    instance: instanceId('control-1'),
    log,
    summary: () => controlSummary([instanceSummary('entry-1', 200)]),
    burn: () => ({ rows: [], withoutObjectives: [], lostIncrements: 0 }),
    incidents: () => ({ incidents: [], dropped: 0 }),
    after: (_durationMs, callback) => {
      const timer = setImmediate(callback)
      return () => { clearImmediate(timer) }
    },
    timeOfDay: () => new Date('2026-12-04T08:00:00Z'),
    logEvent: () => {},
    ...changed
  })
}

/** Serves an operator service on a free loopback port. */
export async function serveOperators (service: OperatorService, manifestBytes = 64 * 1024, tls: OperatorServerOptions['tls'] = null): Promise<{ address: string, reloadTls: () => void, close: () => Promise<void> }> {
  const server = await listenForOperators({
    host: '127.0.0.1',
    port: 0,
    tls,
    manifestBytes,
    operators: [{ name: 'alice', digest: digestKey(CREDENTIAL) }],
    requests: { ...service, page: async () => renderBurnPage(await service.report('burn') as BurnReport) },
    logEvent: () => {}
  })
  return { address: `127.0.0.1:${server.port}`, reloadTls: server.reloadTls, close: server.close }
}

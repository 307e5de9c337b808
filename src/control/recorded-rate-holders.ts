import type { ControlLog } from '../types/control-log.js'
import type { InstanceId, ResourceId, WorkspaceId } from '../types/ids.js'
import { resourceId } from '../types/ids.js'
import type { RateHolderRecord } from '../types/replicated-state.js'

export interface RecordedRateHoldersOptions {
  log: ControlLog
  isEnabled: boolean
  /** @returns whether the instance may hold a share of the resource, as far as this leader knows */
  mayHold: (resource: ResourceId, instance: InstanceId) => boolean
}

/** Keeps in the control log which instances may hold a share of each rate. A later leader waits only for those. */
export interface RecordedRateHolders {
  /**
   * Notes the instances that should hold shares of a rate.
   * @param selected - null: all instances; `unknown`: the leader has no directory yet, so the recorded ones remain
   * @returns those of them that may hold shares already, because the log lists them; null: all instances
   */
  admit: (workspace: WorkspaceId, selected: readonly InstanceId[] | 'unknown' | null) => readonly InstanceId[] | null
  /** Proposes to record the changes that `admit` has noted, unless a proposal is in flight. Called by an established leader. */
  tick: () => void
  /** @returns the recorded holders of a resource; null: any recorded instance */
  holdersOf: (resource: ResourceId) => readonly InstanceId[] | null
  /** Forgets the proposal of an earlier leadership. */
  reset: () => void
}

/** @returns a record that reads the state of the log */
export function createRecordedRateHolders ({ log, isEnabled, mayHold }: RecordedRateHoldersOptions): RecordedRateHolders {
  const wanted = new Map<WorkspaceId, readonly InstanceId[]>()
  /** The last proposal, until the log has applied it. A failed one is repeated unchanged, because it may still be applied. */
  let pending: Map<WorkspaceId, InstanceId[]> | null = null
  let isInFlight = false

  const findRecorded = (workspace: WorkspaceId): readonly InstanceId[] | null => log.state().rateHolders?.find((record) => record.workspace === workspace)?.instances ?? null

  function admit (workspace: WorkspaceId, selected: readonly InstanceId[] | 'unknown' | null): readonly InstanceId[] | null {
    if (!isEnabled) return selected === 'unknown' ? null : selected
    const recorded = findRecorded(workspace)
    if (selected === 'unknown') return recorded
    // Without a record, a later leader waits for every instance, as it must where all hold shares.
    if (selected === null && recorded === null) return null
    const next = selected ?? log.state().instances
    wanted.set(workspace, next)
    // While a removal is in flight, the instance gets nothing, because it may be removed after its grant.
    const proposed = pending?.get(workspace)
    return next.filter((instance) => recorded?.includes(instance) !== false && proposed?.includes(instance) !== false)
  }

  /** Adds the recorded instances that may still hold a share to the selected ones. */
  function buildRecord (workspace: WorkspaceId, selected: readonly InstanceId[]): RateHolderRecord {
    const former = findRecorded(workspace) ?? log.state().instances
    const kept = former.filter((instance) => !selected.includes(instance) && mayHold(resourceId('rate', workspace), instance))
    return { workspace, instances: [...selected, ...kept].sort() }
  }

  function tick (): void {
    if (!isEnabled || isInFlight) return
    if (pending !== null) return propose(pending)
    if (wanted.size === 0) return
    const holders = [...wanted].map(([workspace, selected]) => buildRecord(workspace, selected)).filter(({ workspace, instances }) => findRecorded(workspace)?.join() !== instances.join())
    wanted.clear()
    if (holders.length === 0) return
    propose(new Map(holders.map(({ workspace, instances }) => [workspace, instances])))
  }

  function propose (proposal: Map<WorkspaceId, InstanceId[]>): void {
    pending = proposal
    isInFlight = true
    const settle = (isRecorded: boolean): void => {
      if (pending !== proposal) return
      isInFlight = false
      if (isRecorded) pending = null
    }
    const holders = [...proposal].map(([workspace, instances]) => ({ workspace, instances }))
    log.propose({ kind: 'record-rate-holders', holders }).then((result) => { settle(result.isOk()) }, () => { settle(false) })
  }

  function holdersOf (resource: ResourceId): readonly InstanceId[] | null {
    if (!isEnabled || !resource.startsWith('rate:')) return null
    return findRecorded(resource.slice('rate:'.length) as WorkspaceId)
  }

  return {
    admit,
    tick,
    holdersOf,
    reset: () => {
      pending = null
      isInFlight = false
      wanted.clear()
    }
  }
}

import type { IncarnationId, InstanceId, ResourceId } from './ids.js'
import type { GrantedShare, HeldShare, ShareDemand } from './share.js'

/** Size of a resource that shares divide. */
export interface ResourceSize {
  /** Requests per second, slots or connections. */
  amount: number
  /** Burst in requests; 0 for slots and connections. */
  burst: number
  /** Whether shares are whole numbers (slots and connections). */
  whole: boolean
  /** Instances that may hold a share; null: every instance. */
  eligible: readonly InstanceId[] | null
}

/** The part of a heartbeat that concerns shares. */
export interface ShareReport {
  instance: InstanceId
  incarnation: IncarnationId
  draining: boolean
  /** Term of the leader that the instance last heard of. */
  leaderTerm: number
  /** Time in which the instance has held no share, in milliseconds; absent: unknown. */
  idleMs?: number
  held: readonly HeldShare[]
  demand: readonly ShareDemand[]
}

/** Divides resources among instances at the control leader. The sum of shares outstanding never exceeds a resource. */
export interface ShareAllocator {
  /** Forgets everything and starts the wait of one share lease, in which only reported shares are adopted. */
  becomeLeader: (leaderTerm: number) => void
  /**
   * Names every instance that may hold a share of an earlier leader. Once all of them have reported to this leader, it need not wait
   * for their leases to run out.
   */
  expectHolders: (instances: ReadonlySet<InstanceId>) => void
  /** @returns whether shares are granted; until then instances keep what an earlier leader gave them */
  isGranting: () => boolean
  /** Sets all resources; a smaller size takes effect as old shares are acknowledged or run out. */
  setResources: (resources: ReadonlyMap<ResourceId, ResourceSize>) => void
  /** Takes what a heartbeat reports: acknowledgements, adoption, demand. */
  report: (report: ShareReport) => void
  /** A run has ended and admits nothing more: its shares are free at once. */
  leave: (instance: InstanceId, incarnation: IncarnationId) => void
  /**
   * Renews and returns all shares of an instance. Called when its heartbeat is answered; the lease is counted from this call.
   */
  renew: (instance: InstanceId, incarnation: IncarnationId) => GrantedShare[]
  /** @returns instances whose shares changed since their last `renew` and that should be asked for a heartbeat at once */
  takeChanged: () => InstanceId[]
  /** Redistributes by demand. Called every 50 ms. */
  tick: () => void
}

import type { Address, IncarnationId, InstanceId, ResourceId } from './ids.js'
import type { GrantedShare, HeldShare, ShareDemand } from './share.js'

/** Size of a resource that the control leader divides into shares. */
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

/** The part of a heartbeat that concerns shares. The allocator needs nothing else of the heartbeat. */
export interface ShareReport {
  instance: InstanceId
  incarnation: IncarnationId
  /** Address at which the incarnation listens for other instances. No two processes listen there at one time; absent: unknown. */
  address?: Address
  draining: boolean
  /** Term of the leader whose answer the instance received last; 0: none. */
  leaderTerm: number
  /** Time for which the instance has held no share, in milliseconds; absent: unknown. */
  idleMs?: number
  held: readonly HeldShare[]
  demand: readonly ShareDemand[]
}

/** Divides resources among instances at the control leader. The outstanding shares of a resource never exceed its size in sum. */
export interface ShareAllocator {
  /**
   * Begins a leader term without any share. The allocator renews the shares that instances report. It grants more of a resource only as far
   * as no instance can hold it: everything once all instances that may hold a share have reported, and otherwise as their leases end.
   */
  becomeLeader: (leaderTerm: number) => void
  /**
   * Names every instance that may hold a share of an earlier leader. Until then, any instance may.
   * @param holdersOf - returns the instances that may hold a share of a resource, null: all that are named. Default: all.
   */
  expectHolders: (instances: ReadonlySet<InstanceId>, holdersOf?: (resource: ResourceId) => readonly InstanceId[] | null) => void
  /** @returns whether the instance may hold a share of the resource, of this leader or of an earlier one */
  mayHold: (resource: ResourceId, instance: InstanceId) => boolean
  /** @returns whether the shares that earlier leaders granted are all known or have expired, so that the allocator grants everything that is free */
  areFormerSharesKnown: () => boolean
  /** Sets the sizes of all resources. A smaller size takes effect as instances acknowledge smaller shares or their former shares expire. */
  setResources: (resources: ReadonlyMap<ResourceId, ResourceSize>) => void
  /** Applies the report of a heartbeat: acknowledgements of grants, shares to adopt, and demand. */
  report: (report: ShareReport) => void
  /** Frees the shares of an incarnation at once. Called when the incarnation has left as planned and admits nothing more. */
  leave: (instance: InstanceId, incarnation: IncarnationId) => void
  /**
   * Renews all shares of an instance for one lease that begins with this call. Called when the leader answers a heartbeat.
   * @returns the renewed shares; none for an incarnation that has not reported in this term
   */
  renew: (instance: InstanceId, incarnation: IncarnationId) => GrantedShare[]
  /**
   * Removes and returns the instances from which the leader should request a heartbeat at once, because their shares changed since
   * their last `renew`. The allocator limits the rate of requests to each instance.
   */
  drainHeartbeatRequests: () => InstanceId[]
  /** Expires leases and redistributes shares by demand. Called at least every 50 ms. */
  tick: () => void
}

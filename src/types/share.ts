import type { ResourceId } from './ids.js'

/** An amount of a resource that one instance holds. */
export interface ShareAmount {
  /** Requests per second, slots or connections. */
  amount: number
  /** Burst of a rate share, in requests; 0 for slots and connections. */
  burst: number
}

/** A share that an instance reports in its heartbeat. */
export interface HeldShare extends ShareAmount {
  resource: ResourceId
  /** Number of the grant that the instance applied last. By this number the leader sees that a reduction is in effect. */
  grant: number
  /** Tokens that the instance returned when its share was reduced, in requests. The leader may grant them to other instances. */
  returnedTokens: number
}

/** Demand of an instance for one resource, reported in its heartbeat. */
export interface ShareDemand {
  resource: ResourceId
  /** Requests per second, slots or connections that the instance could use. */
  amount: number
}

/** A share that the leader grants in a heartbeat answer. It replaces the instance's former share of the resource. */
export interface GrantedShare extends ShareAmount {
  resource: ResourceId
  grant: number
  /** Tokens that the leader grants with the share, in requests. */
  tokens: number
}

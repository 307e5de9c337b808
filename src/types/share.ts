import type { ResourceId } from './ids.js'

/** A part of a resource. */
export interface ShareAmount {
  /** Requests per second, slots or connections. */
  amount: number
  /** Burst of a rate share, in requests; 0 for slots and connections. */
  burst: number
}

/** What an instance says it holds, in a heartbeat. */
export interface HeldShare extends ShareAmount {
  resource: ResourceId
  /** Number of the grant that the instance last applied; acknowledges reductions. */
  grant: number
  /** Tokens given back on a reduction, in requests. The leader may pass them on. */
  returnedTokens: number
}

/** What an instance could use, in a heartbeat. */
export interface ShareDemand {
  resource: ResourceId
  /** Requests per second, slots or connections wanted. */
  amount: number
}

/** What the leader grants, in a heartbeat answer. Replaces the former share of the same resource. */
export interface GrantedShare extends ShareAmount {
  resource: ResourceId
  grant: number
  /** Tokens that come with the grant, in requests. */
  tokens: number
}

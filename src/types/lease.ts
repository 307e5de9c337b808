/**
 * Default length of a freshness lease on the clock of the instance that holds it, in ms.
 * While its lease is valid, no database other than the primary that the instance knows can be the primary of the group.
 */
export const FRESHNESS_LEASE_MS = 1500

/**
 * Time after which a freshness lease has expired, by the clock of any other process, in ms.
 * The lease starts when the instance sends its heartbeat, before the leader receives it. Two clocks drift apart by at most 1%.
 */
export const FRESHNESS_LEASE_END_MS = FRESHNESS_LEASE_MS * 1.01

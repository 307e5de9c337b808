/** Time for which an instance may use a share, by its own clock, after it sent the heartbeat that renewed the share. */
export const SHARE_LEASE_MS = 4000

/** Largest assumed relative difference in speed between two monotonic clocks. */
export const MAX_CLOCK_DRIFT_RATIO = 0.01

/** Time for which the leader counts a share as held, by its own clock, after it renewed the share. In milliseconds. */
export const LEADER_SHARE_LEASE_MS = SHARE_LEASE_MS * (1 + MAX_CLOCK_DRIFT_RATIO)

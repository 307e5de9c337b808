/** How long a share may be used after the heartbeat that renewed it was sent, in milliseconds of the instance's clock. */
export const shareLeaseMs = 4000

/** Largest assumed difference in speed between two monotonic clocks. */
export const maxClockDrift = 0.01

/** How long the leader counts a share as held after it renewed it, in milliseconds of the leader's clock. */
export const leaderShareLeaseMs = shareLeaseMs * (1 + maxClockDrift)

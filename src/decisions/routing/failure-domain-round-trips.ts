import type { Clock, Milliseconds } from '../../types/clock.js'
import type { FailureDomainId } from '../../types/ids.js'

/** A change of the network is known after this time. It covers several calls to each failure domain. */
const WINDOW_MS = 10_000

/** Round trips to the instances of each failure domain, measured from calls that are made anyway. */
export interface FailureDomainRoundTrips {
  /** @param roundTripMs - time from sending a call until its answer, without the time that the other instance reports to have spent */
  record: (failureDomain: FailureDomainId, roundTripMs: number) => void
  /** @returns the shortest round trip in the window in milliseconds, or the last one when the window has none; null before the first */
  roundTripMs: (failureDomain: FailureDomainId) => number | null
}

/**
 * Creates the measurement. The minimum is used, since a call also includes waits at both instances, such as the wait for a token, which
 * say nothing about the network.
 */
export function createFailureDomainRoundTrips (clock: Clock): FailureDomainRoundTrips {
  /** Samples that can still become the minimum: each is shorter than all later ones, oldest first. */
  const samplesByDomain = new Map<FailureDomainId, { at: Milliseconds, ms: number }[]>()

  return {
    record: (failureDomain, ms) => {
      const samples = samplesByDomain.get(failureDomain) ?? []
      samplesByDomain.set(failureDomain, samples)
      while ((samples.at(-1)?.ms ?? -Infinity) >= ms) samples.pop()
      samples.push({ at: clock.now(), ms })
    },
    roundTripMs: (failureDomain) => {
      const samples = samplesByDomain.get(failureDomain) ?? []
      while (samples.length > 1 && clock.now() - (samples[0]?.at ?? 0) > WINDOW_MS) samples.shift()
      return samples[0]?.ms ?? null
    }
  }
}

const MS_PER_SECOND = 1000

/** Token buckets of one workspace, one per instance. Each has an equal, fixed share of the rate and the burst. */
export interface EqualTokenBuckets {
  /** Takes a token from the bucket of an instance. @returns whether there was one */
  take: (instance: number, nowMs: number) => boolean
}

interface Bucket {
  tokens: number
  /** Time in milliseconds, as passed to `take`. */
  refilledAt: number
}

/**
 * Creates one full token bucket for each instance.
 * @param rate - requests per second of all instances together
 * @param burst - requests of all instances together
 */
export function createEqualTokenBuckets (rate: number, burst: number, instances: number): EqualTokenBuckets {
  const buckets = new Map<number, Bucket>()
  const burstPerInstance = burst / instances
  return {
    take: (instance, nowMs) => {
      const bucket = buckets.get(instance) ?? { tokens: burstPerInstance, refilledAt: nowMs }
      buckets.set(instance, bucket)
      bucket.tokens = Math.min(burstPerInstance, bucket.tokens + rate / instances * (nowMs - bucket.refilledAt) / MS_PER_SECOND)
      bucket.refilledAt = nowMs
      if (bucket.tokens < 1) return false
      bucket.tokens -= 1
      return true
    }
  }
}

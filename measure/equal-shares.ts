const MS_PER_SECOND = 1000

/** Token buckets with an equal part of a rate at each instance that never moves. */
export interface EqualShares {
  /** @returns whether the instance had a token, which is then used up */
  take: (instance: number, nowMs: number) => boolean
}

interface Bucket {
  tokens: number
  countedAt: number
}

/** Creates full buckets; `rate` is in requests per second, `burst` in requests. */
export function createEqualShares (rate: number, burst: number, instances: number): EqualShares {
  const buckets = new Map<number, Bucket>()
  const partOfBurst = burst / instances
  return {
    take: (instance, nowMs) => {
      const bucket = buckets.get(instance) ?? { tokens: partOfBurst, countedAt: nowMs }
      buckets.set(instance, bucket)
      bucket.tokens = Math.min(partOfBurst, bucket.tokens + rate / instances * (nowMs - bucket.countedAt) / MS_PER_SECOND)
      bucket.countedAt = nowMs
      if (bucket.tokens < 1) return false
      bucket.tokens -= 1
      return true
    }
  }
}

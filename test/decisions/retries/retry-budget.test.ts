import fc from 'fast-check'
import t from 'tap'
import { createRetryBudget } from '../../../src/decisions/retries/retry-budget.js'
import { computeRetryDelayMs } from '../../../src/decisions/retries/compute-retry-delay.js'

// Unbounded retries multiply the load on a failing database. Retries without random delays arrive together and overload it again.

const seed = 7002

t.test('retries stay within 10% of requests plus the minimum burst, in any order of requests and retries', async (t) => {
  t.doesNotThrow(() => fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 2000 }), (steps) => {
    const budget = createRetryBudget()
    let requests = 0
    let retries = 0
    return steps.every((isRequest) => {
      if (isRequest) {
        requests++
        budget.countRequest()
      } else if (budget.takeRetry()) {
        retries++
      }
      return retries <= requests * 0.1 + 3
    })
  }), { seed }))
})

t.test('ten requests earn exactly one retry, without rounding errors', async (t) => {
  const budget = createRetryBudget({ initialRetries: 0 })
  for (let request = 0; request < 9; request++) budget.countRequest()
  t.notOk(budget.takeRetry())
  budget.countRequest()
  t.ok(budget.takeRetry())
  t.notOk(budget.takeRetry())
})

t.test('many requests without a retry do not accumulate a large retry budget', async (t) => {
  const budget = createRetryBudget()
  for (let request = 0; request < 10_000; request++) budget.countRequest()
  let retries = 0
  while (budget.takeRetry()) retries++
  t.equal(retries, 10)
})

t.test('delays double up to the bound, and half of each delay is random', async (t) => {
  const cases = [
    { retry: 1, random: 0, delay: 5 },
    { retry: 1, random: 0.5, delay: 7.5 },
    { retry: 3, random: 0, delay: 20 },
    { retry: 8, random: 0, delay: 500 },
    { retry: 5000, random: 0.5, delay: 750 }
  ]
  for (const { retry, random, delay } of cases) t.equal(computeRetryDelayMs(retry, { random: () => random }), delay, `retry ${retry}`)
})

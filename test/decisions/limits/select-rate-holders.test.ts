import t from 'tap'
import { selectRateHolders } from '../../../src/decisions/limits/select-rate-holders.js'
import { failureDomainId, instanceId, workspaceId } from '../../../src/types/ids.js'

// If rates were not spread over a fleet, or a draining instance held one, its failure or departure would leave workspaces without a rate.

const fleet = (size: number) => Array.from({ length: size }, (_, index) => ({ instance: instanceId(`e${index}`), failureDomain: failureDomainId(`f${index % 3}`), draining: index === 3 }))

t.test('in a fleet no larger than the number of rate holders, every instance holds a share', async (t) => {
  t.equal(selectRateHolders(workspaceId('w'), 200, fleet(3)), null)
  t.equal(selectRateHolders(workspaceId('w'), 50, fleet(2)), null)
})

t.test('three instances hold each rate and two a small one, none of them draining, and the rates are spread over the fleet', async (t) => {
  for (const size of [8, 67, 195]) {
    for (const { rate, holderCount } of [{ rate: 100, holderCount: 3 }, { rate: 99, holderCount: 2 }]) {
      const counts = new Map<string, number>()
      for (let index = 0; index < 600; index++) {
        const holders = selectRateHolders(workspaceId(`w${index}`), rate, fleet(size)) ?? []
        t.equal(new Set(holders).size, holderCount)
        t.notOk(holders.includes(instanceId('e3')))
        for (const holder of holders) counts.set(holder, (counts.get(holder) ?? 0) + 1)
      }
      t.ok(counts.size > size * 0.85, `${counts.size} of ${size} instances hold rates`)
    }
  }
})

t.test('a rate that grows keeps its holders', async (t) => {
  for (let index = 0; index < 100; index++) {
    const [small, large] = [50, 500].map((rate) => selectRateHolders(workspaceId(`w${index}`), rate, fleet(9)) ?? [])
    t.same(large?.slice(0, 2), small)
  }
})

t.test('the holders of a rate are in different failure domains', async (t) => {
  for (const size of [8, 61]) {
    for (let index = 0; index < 100; index++) {
      for (const rate of [50, 500]) {
        const holders = selectRateHolders(workspaceId(`w${index}`), rate, fleet(size)) ?? []
        t.equal(new Set(holders.map((holder) => Number(holder.slice(1)) % 3)).size, holders.length)
      }
    }
  }
})

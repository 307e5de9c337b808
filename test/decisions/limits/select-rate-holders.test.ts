import t from 'tap'
import { selectRateHolders } from '../../../src/decisions/limits/select-rate-holders.js'
import { instanceId, workspaceId } from '../../../src/types/ids.js'

// If rates were not spread over a large fleet, or a draining instance held one, its failure or departure would leave workspaces without a rate.

const fleet = (size: number) => Array.from({ length: size }, (_, index) => ({ instance: instanceId(`e${index}`), draining: index === 3 }))

t.test('in a small fleet every instance holds a share of every rate', async (t) => {
  t.equal(selectRateHolders(workspaceId('w'), fleet(9)), null)
})

t.test('in a large fleet three instances hold each rate, none of them draining, and the rates are spread over the fleet', async (t) => {
  const counts = new Map<string, number>()
  for (let index = 0; index < 200; index++) {
    const holders = selectRateHolders(workspaceId(`w${index}`), fleet(67)) ?? []
    t.equal(new Set(holders).size, 3)
    t.notOk(holders.includes(instanceId('e3')))
    for (const holder of holders) counts.set(holder, (counts.get(holder) ?? 0) + 1)
  }
  t.ok(counts.size > 60)
})

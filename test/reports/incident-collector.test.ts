// The collector keeps incidents in memory for as long as a control instance runs. A frequent event could fill that memory, or
// displace the few incidents that operators need after an outage.
import t from 'tap'
import type { IncidentCollector } from '../../src/reports/incident-collector.js'
import { createIncidentCollector } from '../../src/reports/incident-collector.js'

function createTestCollector (capacity: number): IncidentCollector {
  let seconds = 0
  return createIncidentCollector({ capacity, timeOfDay: () => new Date(seconds++ * 1000) })
}

t.test('the beginning and the end of a failover are incidents, and an ordinary event is not', async (t) => {
  const collector = createTestCollector(10)
  collector.note('started')
  collector.note('failoverBegan', { group: 'g' })
  collector.note('failoverEnded', { group: 'g', gapMs: 2000 })
  t.same(collector.list().incidents.map(({ event, details }) => [event, details.gapMs]), [[405, 2000], [404, undefined]])
})

t.test('repeated incidents are counted and do not displace others', async (t) => {
  const collector = createTestCollector(2)
  collector.note('instanceLost', { instance: 'a' })
  for (let count = 0; count < 50; count++) collector.note('databaseSilent', { database: 'd' })
  t.match(collector.list(), { dropped: 0, incidents: [{ count: 50, firstAt: '1970-01-01T00:00:01.000Z', lastAt: '1970-01-01T00:00:50.000Z' }, { count: 1 }] })
})

t.test('memory is bounded, errors outlast less severe incidents, and dropped incidents are counted', async (t) => {
  const collector = createTestCollector(3)
  collector.note('requestFailed', { message: 'x'.repeat(10_000) })
  for (let count = 0; count < 20; count++) collector.note('instanceLost', { instance: `entry-${count}` })
  const { incidents, dropped } = collector.list()
  t.same(incidents.map(({ name }) => name), ['instanceLost', 'instanceLost', 'requestFailed'])
  t.equal(incidents[0]?.details.instance, 'entry-19')
  t.equal(dropped, 18)
  t.ok(JSON.stringify(incidents).length < 2000, 'a long message is truncated')
})

import t from 'tap'
import type { IncidentCollector } from '../../src/reports/incident-collector.js'
import { createIncidentCollector } from '../../src/reports/incident-collector.js'

function setUp (capacity: number): IncidentCollector {
  let second = 0
  return createIncidentCollector({ capacity, timeOfDay: () => new Date(second++ * 1000) })
}

t.test('a failover is listed from its beginning to its end, and ordinary events are not', async (t) => {
  const collector = setUp(10)
  collector.note('started')
  collector.note('failoverBegan', { group: 'g' })
  collector.note('failoverEnded', { group: 'g', gapMs: 2000 })
  t.same(collector.list().incidents.map(({ event, details }) => [event, details.gapMs]), [[405, 2000], [404, undefined]])
})

t.test('repeated incidents are counted and do not push out others', async (t) => {
  const collector = setUp(2)
  collector.note('instanceLost', { instance: 'a' })
  for (let count = 0; count < 50; count++) collector.note('databaseSilent', { database: 'd' })
  t.match(collector.list(), { dropped: 0, incidents: [{ count: 50, firstAt: '1970-01-01T00:00:01.000Z', lastAt: '1970-01-01T00:00:50.000Z' }, { count: 1 }] })
})

t.test('memory is bounded, errors outlast lesser incidents, and what is dropped is told', async (t) => {
  const collector = setUp(3)
  collector.note('requestFailed', { message: 'x'.repeat(10_000) })
  for (let count = 0; count < 20; count++) collector.note('instanceLost', { instance: `entry-${count}` })
  const { incidents, dropped } = collector.list()
  t.same(incidents.map(({ name }) => name), ['instanceLost', 'instanceLost', 'requestFailed'])
  t.equal(incidents[0]?.details.instance, 'entry-19')
  t.equal(dropped, 18)
  t.ok(JSON.stringify(incidents).length < 2000, 'a long message does not use up memory')
})

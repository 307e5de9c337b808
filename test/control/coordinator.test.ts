import t from 'tap'
import { createWorld } from './fixtures/world.js'

t.test('an empty cluster comes up: every group gets a primary and every instance a lease, so that writes are acknowledged', async (t) => {
  const world = createWorld(1)
  world.cluster.changeManifest(world.manifest())
  await world.runUntil(8000)
  t.same(world.violations(), [])
  const summary = world.leader()?.summary()
  t.same(summary?.groups.map(({ group, phase, term }) => ({ group, phase, term })), [{ group: 'g1', phase: 'serving', term: 1 }, { group: 'g2', phase: 'serving', term: 1 }])
  t.ok(world.entries.every((entry) => entry.isFresh()))
  for (const group of ['g1', 'g2']) t.ok(world.entries.some((entry) => (entry.acknowledgedAt.get(group) ?? 0) > 7000), `${group} acknowledges writes`)
})

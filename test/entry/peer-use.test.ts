// Tests that channels to former connection holders stay open for a while after the directory names other holders.
// Closing the channel at once would end every request and transaction that the former holder still runs.
import t from 'tap'
import { createBlackboard } from '../../src/blackboard/blackboard.js'
import { directoryEntry } from '../../src/blackboard/entry-instance-entries.js'
import { createPeerUse } from '../../src/entry/peer-use.js'
import type { Directory } from '../../src/types/directory.js'
import { address, failureDomainId, groupId, incarnationId, instanceId } from '../../src/types/ids.js'
import { createFakeClock } from '../support/fake-clock.js'

const CHANNEL_RETENTION_MS = 60_000
const group = groupId('g')

function directoryWith (holders: readonly string[], listed: readonly string[] = ['a', 'b', 'c']): Directory {
  return {
    version: { leaderTerm: 1, counter: 1 },
    instances: listed.map((name) => ({ instance: instanceId(name), incarnation: incarnationId(name), peerAddress: address(`${name}:1`), failureDomain: failureDomainId('d'), draining: false })),
    groups: [{ group, term: 1, primary: null, phase: 'serving', holders: holders.map((name) => instanceId(name)) }],
    databases: []
  }
}

function createFixture (): { publish: (directory: Directory) => void, peers: () => string[], advance: (durationMs: number) => void } {
  const clock = createFakeClock()
  const blackboard = createBlackboard()
  const entry = blackboard.claim(directoryEntry, 'control-attachment')
  let selected: string[] = []
  const selection = createPeerUse({ instance: instanceId('a'), clock, blackboard, setHolders: (wanted) => { selected = [...wanted.keys()].sort() } })
  entry.write(directoryWith(['b']))
  selection.recordGroupUse(group)
  return {
    publish: (directory) => {
      entry.write(directory)
      selection.update()
    },
    peers: () => selected,
    advance: (durationMs) => {
      clock.advance(durationMs)
      selection.recordGroupUse(group)
      selection.tick()
    }
  }
}

t.test('the channel to a former connection holder stays open for the retention time', async (t) => {
  const fixture = createFixture()
  fixture.publish(directoryWith(['c']))
  t.same(fixture.peers(), ['b', 'c'])
  fixture.advance(CHANNEL_RETENTION_MS - 1)
  t.same(fixture.peers(), ['b', 'c'])
  fixture.advance(1)
  t.same(fixture.peers(), ['c'])
})

t.test('the channel to a former connection holder that left the directory is closed at once', async (t) => {
  const fixture = createFixture()
  fixture.publish(directoryWith(['c']))
  fixture.publish(directoryWith(['c'], ['a', 'c']))
  t.same(fixture.peers(), ['c'])
})

t.test('the channel to a former connection holder that becomes one again stays open beyond the retention time', async (t) => {
  const fixture = createFixture()
  fixture.publish(directoryWith(['c']))
  fixture.publish(directoryWith(['b', 'c']))
  fixture.advance(2 * CHANNEL_RETENTION_MS)
  t.same(fixture.peers(), ['b', 'c'])
})

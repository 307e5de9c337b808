import t from 'tap'
import { createBlackboard } from '../../src/blackboard/blackboard.js'
import { directoryEntry } from '../../src/blackboard/entry-instance-entries.js'
import { createPeerUse } from '../../src/entry/peer-use.js'
import type { Directory } from '../../src/types/directory.js'
import { address, failureDomainId, groupId, incarnationId, instanceId } from '../../src/types/ids.js'
import { createFakeClock } from '../support/fake-clock.js'

const KEEP_MS = 60_000
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
  let peers: string[] = []
  const use = createPeerUse({ instance: instanceId('a'), clock, blackboard, setPeers: (wanted) => { peers = [...wanted.keys()].sort() } })
  entry.write(directoryWith(['b']))
  use.use(group)
  return {
    publish: (directory) => {
      entry.write(directory)
      use.refresh()
    },
    peers: () => peers,
    advance: (durationMs) => {
      clock.advance(durationMs)
      use.use(group)
      use.tick()
    }
  }
}

// Closing the channel at the move ended every request and transaction that the former holder was still running.
t.test('the channel to a former holder stays until its requests and transactions can have ended', async (t) => {
  const fixture = createFixture()
  fixture.publish(directoryWith(['c']))
  t.same(fixture.peers(), ['b', 'c'])
  fixture.advance(KEEP_MS - 1)
  t.same(fixture.peers(), ['b', 'c'])
  fixture.advance(1)
  t.same(fixture.peers(), ['c'])
})

t.test('a former holder that left the directory is dropped at once', async (t) => {
  const fixture = createFixture()
  fixture.publish(directoryWith(['c']))
  fixture.publish(directoryWith(['c'], ['a', 'c']))
  t.same(fixture.peers(), ['c'])
})

t.test('a former holder that is named again is kept for as long as it is a holder', async (t) => {
  const fixture = createFixture()
  fixture.publish(directoryWith(['c']))
  fixture.publish(directoryWith(['b', 'c']))
  fixture.advance(2 * KEEP_MS)
  t.same(fixture.peers(), ['b', 'c'])
})

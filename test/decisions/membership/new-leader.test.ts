// Guards against connections that are closed after each change of leadership. A new leader knows databases and connection holders only
// once their announcements and heartbeats have arrived; a directory without them makes the holders close their connections.
import t from 'tap'
import { createBlackboard } from '../../../src/blackboard/blackboard.js'
import { connectionHoldersEntry, leadershipEntry, replicatedStateEntry } from '../../../src/blackboard/control-instance-entries.js'
import { createEmptyReplicatedState } from '../../../src/decisions/manifest/apply-command.js'
import { createDatabaseRegistry } from '../../../src/decisions/membership/database-registry.js'
import { isDirectoryReady } from '../../../src/decisions/membership/directory-readiness.js'
import { createHolderAssignment } from '../../../src/decisions/membership/holder-assignment.js'
import { createInstanceRegistry } from '../../../src/decisions/membership/instance-registry.js'
import { milliseconds } from '../../../src/types/clock.js'
import { databaseId, failureDomainId, groupId, instanceId, resourceId } from '../../../src/types/ids.js'
import { buildAnnouncement, buildHeartbeat, buildStatus } from './fixtures/messages.js'

/** A new leader with group `g`, whose primary is `a`. Of the instances that attach, `y` holds slots of database `b`. */
function startLeader () {
  const blackboard = createBlackboard()
  let now = 0
  const clock = { now: () => milliseconds(now) }
  blackboard.claim(leadershipEntry, 'test').write({ term: 2, since: milliseconds(0) })
  const manifest = { formatVersion: 1 as const, failureDomains: [], groups: [{ id: groupId('g'), slots: 5, connections: 30 }], workspaces: [], routes: [] }
  const groups = [{ group: groupId('g'), term: 1, primary: databaseId('a'), phase: 'serving' as const }]
  blackboard.claim(replicatedStateEntry, 'test').write({ ...createEmptyReplicatedState(), manifestVersion: 1, manifest, groups })
  const instances = createInstanceRegistry({ blackboard, clock })
  const databases = createDatabaseRegistry({ blackboard, clock })
  const assignment = createHolderAssignment({ blackboard, clock })
  const attach = (name: string, silentForMs: number) => instances.handle(buildHeartbeat(1, {
    instance: instanceId(name),
    failureDomain: failureDomainId(name),
    held: name === 'y' ? [{ resource: resourceId('slots', 'b'), amount: 1, burst: 0, grant: 1, returnedTokens: 0 }] : [],
    observations: [{ database: databaseId('a'), status: buildStatus('a'), silentForMs }]
  }))
  return {
    attach,
    announce: (...names: string[]) => { for (const name of names) databases.announce(buildAnnouncement(buildStatus(name))) },
    isReady: () => isDirectoryReady(blackboard, clock.now()),
    holdersAt: (at: number) => {
      now = at
      assignment.tick()
      return blackboard.reader(connectionHoldersEntry).read().get(groupId('g'))
    }
  }
}

const cases: { name: string, announced: string[], silentForMs: number[], ready: boolean }[] = [
  { name: 'it waits for the primary, because holders would close their connections to it', announced: ['b', 'c'], silentForMs: [], ready: false },
  { name: 'it waits for a primary that answers one holder', announced: ['b', 'c'], silentForMs: [900, 100], ready: false },
  { name: 'it does not wait for a silent primary, because the leases of all instances would expire meanwhile', announced: ['b', 'c'], silentForMs: [900, 600], ready: true },
  { name: 'it waits for a replica, because a primary alone can not accept writes', announced: ['a'], silentForMs: [], ready: false },
  { name: 'it needs no more than a primary and a replica', announced: ['a', 'b'], silentForMs: [], ready: true }
]
for (const { name, announced, silentForMs, ready } of cases) {
  t.test(`first directory: ${name}`, async (t) => {
    const leader = startLeader()
    leader.announce(...announced)
    silentForMs.forEach((silence, index) => leader.attach(`x${index}`, silence))
    t.equal(leader.isReady(), ready)
    leader.holdersAt(1500)
    t.equal(leader.isReady(), true, 'after the longest wait')
  })
}

t.test('a new leader keeps a holder whose databases announce themselves late, so that its requests continue', async (t) => {
  const leader = startLeader()
  for (const name of ['x', 'y', 'z']) leader.attach(name, 0)
  t.same(leader.holdersAt(600), undefined, 'no other instance is named meanwhile')
  leader.announce('a', 'b')
  t.same(leader.holdersAt(700), ['y'])
  t.same(leader.holdersAt(1500), ['y', 'x', 'z'])
})

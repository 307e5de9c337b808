import t from 'tap'
import type { Address, MemberId } from '../../../src/types/ids.js'
import { buildManifestCommand } from '../../fixtures/build-manifest-command.js'
import { createSimulatedCluster } from '../../fixtures/simulated-cluster.js'
import type { SimulatedMember } from '../../fixtures/simulated-cluster.js'
import { addresses, appendAnswer, createSingleMember, headerFrom, logOfTerms, memberIds, sentMessagesOf } from '../../fixtures/single-member.js'

// Guards against changes that wait for an election timeout, or are lost, after the disk of the leader was full. Only timing may depend on a resignation.

const SEED = 11
/** Shortest election timeout of the consensus controller in ms; without a resignation no member votes for another leader earlier. */
const ELECTION_TIMEOUT_MIN_MS = 300

t.test('another member leads within an election timeout after the leader could not write, with every accepted change', async (t) => {
  const cluster = createSimulatedCluster(5, SEED)
  cluster.runUntil('the cluster forms', cluster.isWhole)
  // Connections between members keep the order of messages. A successor that receives the resignation before the last entries may lose its election.
  cluster.setFaults({ drop: 0, duplicate: 0, maxDelayMs: 0 })
  for (let round = 0; round < 5; round++) {
    // Long enough for the leader to apply all former changes.
    cluster.run(500)
    const resigned = cluster.leader() as SimulatedMember
    const base = resigned.controller?.view().state.manifestVersion ?? 0
    t.match(cluster.commit(buildManifestCommand(base, `content ${base}`)), { kind: 'manifest-accepted' })
    const pending = cluster.propose(resigned, buildManifestCommand(base + 1, 'pending'))
    cluster.failDisk(resigned)
    t.ok(pending.failed, 'the caller is answered at once')
    cluster.runUntil('another member leads', () => cluster.leader() !== null, ELECTION_TIMEOUT_MIN_MS - 50)
    cluster.start(resigned)
    t.match(cluster.commit(buildManifestCommand(base, `content ${base}`)), { kind: 'manifest-accepted', resent: true }, 'the change is in the log')
  }
})

t.test('a leader names the voter that holds the most entries as its successor', async (t) => {
  const leader = createSingleMember({ entries: logOfTerms([1, 1]) })
  const { term } = leader.lead()
  leader.sync()
  leader.receive(appendAnswer(2, term, { round: 1, matchIndex: 2 }))
  leader.receive(appendAnswer(3, term, { round: 1, matchIndex: 4 }))
  const effects = leader.handle({ kind: 'storage-failed' })
  t.same(sentMessagesOf(effects, 'resignation').map(({ to, successor }) => [to, successor]), [['m2', 'm3'], ['m3', 'm3']])
  t.equal(leader.view().role, 'follower')
})

t.test('a resignation counts only from the leader of the term, and makes only the successor start an election', async (t) => {
  const entries = logOfTerms([1])
  const heartbeat = { ...headerFrom(2, 5), kind: 'append' as const, entryAddress: addresses[1] as Address, round: 1, previousIndex: 2, previousTerm: 1, entries: [], commitIndex: 1 }
  const resignation = (position: 2 | 3, term: number, successor: string) => ({ ...headerFrom(position, term), kind: 'resignation' as const, successor: successor as MemberId })
  const preVote = { ...headerFrom(3, 5), kind: 'pre-vote' as const, nextTerm: 6, lastIndex: 2, lastTerm: 1 }

  for (const { message, startsElection, grantsPreVote } of [
    { message: resignation(2, 5, 'm1'), startsElection: true, grantsPreVote: true },
    { message: resignation(2, 5, 'm3'), startsElection: false, grantsPreVote: true },
    { message: resignation(3, 5, 'm1'), startsElection: false, grantsPreVote: false },
    { message: resignation(2, 4, 'm1'), startsElection: false, grantsPreVote: false }
  ]) {
    const member = createSingleMember({ entries, vote: { term: 5, votedFor: memberIds[1] as MemberId } })
    member.receiveAndSync(heartbeat)
    t.equal(sentMessagesOf(member.receiveAndSync(message), 'pre-vote').length > 0, startsElection)
    t.equal(sentMessagesOf(member.receiveAndSync(preVote), 'pre-vote-answer')[0]?.granted, grantsPreVote)
    member.receiveAndSync(heartbeat)
    t.equal(sentMessagesOf(member.receiveAndSync(preVote), 'pre-vote-answer')[0]?.granted, grantsPreVote, 'a late heartbeat changes nothing')
  }
})

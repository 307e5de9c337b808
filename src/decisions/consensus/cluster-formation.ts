import type { Milliseconds } from '../../types/clock.js'
import type { ControlMember, LogEntry } from '../../types/consensus-entry.js'
import { clusterId } from '../../types/consensus-entry.js'
import type { Probe, ProbeAnswer } from '../../types/consensus-message.js'
import type { Address, MemberId } from '../../types/ids.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { termVoteOf } from './member-core.js'

/** Searches for other members while no leader is known to run, and forms the cluster on the first start. */
export interface ClusterFormation {
  /** Sends a probe to all known addresses every `probeMs` while no leader sends messages. */
  tick: () => void
  /** Answers with this member's cluster, null if its folder is empty, and forwards the probe to the leader. */
  handleProbe: (message: Probe) => void
  /** Forms a cluster once all configured addresses have answered the newest probe and all their folders are empty. */
  handleProbeAnswer: (message: ProbeAnswer) => void
}

/** Term of the log entry that forms the cluster. */
const FORMATION_TERM = 1

/** @param onFormed - called once the first entry is in the log */
export function createClusterFormation (core: MemberCore, effects: EffectQueue, onFormed: () => void): ClusterFormation {
  const { options } = core
  let nonce = 0
  let lastProbeAt: Milliseconds | null = null
  let emptyMembers = new Map<Address, MemberId>()

  /**
   * Only the member with the lowest address forms a cluster. If any member could, a member whose folder is emptied during
   * the formation could answer as empty to two members, and they would form clusters with different ids.
   */
  const hasLowestAddress = (): boolean => [...options.memberAddresses].sort()[0] === options.ownAddress

  function hasRecentLeader (now: Milliseconds): boolean {
    return core.role === 'leader' || (core.lastLeaderMessageAt !== null && now - core.lastLeaderMessageAt < 2 * options.electionTimeoutMaxMs)
  }

  /** Members may have moved to other addresses since the settings were written, so the addresses in the log and the current seeds are probed too. */
  function collectKnownAddresses (): Set<Address> {
    return new Set([...options.memberAddresses, ...options.seedAddresses(), ...core.log.members().map(({ address }) => address)])
  }

  function tick (): void {
    const now = options.clock.now()
    const hasProbedRecently = lastProbeAt !== null && now - lastProbeAt < options.probeMs
    if (hasProbedRecently || hasRecentLeader(now)) return
    lastProbeAt = now
    nonce = Math.floor(options.random() * Number.MAX_SAFE_INTEGER)
    emptyMembers = new Map([[options.ownAddress, core.self]])
    for (const address of collectKnownAddresses()) {
      if (address === options.ownAddress) continue
      effects.send(address, { version: 1, kind: 'probe', from: core.self, fromAddress: options.ownAddress, nonce, cluster: core.log.cluster() })
    }
    formClusterIfComplete()
  }

  function handleProbe (message: Probe): void {
    const answer: ProbeAnswer = {
      version: 1,
      kind: 'probe-answer',
      from: core.self,
      fromAddress: options.ownAddress,
      to: message.from,
      nonce: message.nonce,
      cluster: core.log.cluster()
    }
    effects.afterSync(() => effects.send(message.fromAddress, answer))
    forwardToLeader(message)
  }

  /** Forwards a probe to the leader, because its sender may know no address of the leader. */
  function forwardToLeader (message: Probe): void {
    if (message.forwarded === true || core.role === 'leader') return
    const leader = core.log.members().find(({ member }) => member === core.leader?.member)
    if (leader !== undefined && leader.address !== message.fromAddress) effects.send(leader.address, { ...message, forwarded: true })
  }

  function handleProbeAnswer (message: ProbeAnswer): void {
    if (message.nonce !== nonce || message.cluster !== null) return
    emptyMembers.set(message.fromAddress, message.from)
    formClusterIfComplete()
  }

  function formClusterIfComplete (): void {
    if (core.log.cluster() !== null || !options.canFormCluster || !hasLowestAddress()) return
    const configuredMembers = options.memberAddresses.map((address) => emptyMembers.get(address))
    const memberIds = configuredMembers.filter((member) => member !== undefined)
    // Two addresses that answer with the same member id run on copies of one folder.
    if (new Set(memberIds).size < options.memberAddresses.length) return
    formCluster(options.memberAddresses.map((address, position) => ({ member: memberIds[position] as MemberId, address, role: 'voter' })))
  }

  function formCluster (members: ControlMember[]): void {
    const cluster = clusterId(createRandomHex())
    const entry: LogEntry = { index: 1, term: FORMATION_TERM, payload: { kind: 'membership', cluster, members } }
    core.log.append([entry])
    if (core.term < FORMATION_TERM) {
      core.term = FORMATION_TERM
      core.votedFor = null
    }
    effects.persist({ kind: 'vote', vote: termVoteOf(core) }, { kind: 'entries', entries: [entry] })
    effects.log('clusterFormed', { cluster, members: members.length })
    onFormed()
  }

  function createRandomHex (): string {
    const digits = Array.from({ length: 32 }, () => Math.floor(options.random() * 16).toString(16))
    return digits.join('')
  }

  return { tick, handleProbe, handleProbeAnswer }
}

import type { Milliseconds } from '../../types/clock.js'
import type { ControlMember, LogEntry } from '../../types/consensus-entry.js'
import { clusterId } from '../../types/consensus-entry.js'
import type { Probe, ProbeAnswer } from '../../types/consensus-message.js'
import type { Address, MemberId } from '../../types/ids.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { termVote } from './member-core.js'

/** Looks for other members while no leader is heard, and forms the cluster on the first start. */
export interface ClusterFormation {
  /** Sends a probe to all configured addresses from time to time while no leader is heard. */
  tick: () => void
  /** Tells the asking member whether the own folder is empty. */
  handleProbe: (message: Probe) => void
  /** Forms a cluster once all configured addresses have answered the newest probe and all are empty. */
  handleProbeAnswer: (message: ProbeAnswer) => void
}

/** Term of the first entry. */
const FORMATION_TERM = 1

/** @param onFormed - called after the first entry is in the log */
export function createClusterFormation (core: MemberCore, effects: EffectQueue, onFormed: () => void): ClusterFormation {
  const { options } = core
  let nonce = 0
  let probedAt: Milliseconds | null = null
  let emptyMembers = new Map<Address, MemberId>()

  /**
   * Only the member with the lowest address forms a cluster. Otherwise a member whose folder is emptied in between
   * could let two members form clusters with different ids.
   */
  const isFormer = (): boolean => [...options.memberAddresses].sort()[0] === options.ownAddress

  function hearsLeader (now: Milliseconds): boolean {
    return core.role === 'leader' || (core.leaderHeardAt !== null && now - core.leaderHeardAt < 2 * options.electionTimeoutMaxMs)
  }

  /** Members may have moved since the settings were written, so all that is known of them is asked. */
  function knownAddresses (): Set<Address> {
    return new Set([...options.memberAddresses, ...options.seedAddresses(), ...core.log.members().map(({ address }) => address)])
  }

  function tick (): void {
    const now = options.clock.now()
    const probedLately = probedAt !== null && now - probedAt < options.probeMs
    if (probedLately || hearsLeader(now)) return
    probedAt = now
    nonce = Math.floor(options.random() * Number.MAX_SAFE_INTEGER)
    emptyMembers = new Map([[options.ownAddress, core.self]])
    for (const address of knownAddresses()) {
      if (address === options.ownAddress) continue
      effects.send(address, { version: 1, kind: 'probe', from: core.self, fromAddress: options.ownAddress, nonce, cluster: core.log.cluster() })
    }
    formIfComplete()
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

  /** The member may know no address of the leader. */
  function forwardToLeader (message: Probe): void {
    if (message.forwarded === true || core.role === 'leader') return
    const leader = core.log.members().find(({ member }) => member === core.leader?.member)
    if (leader !== undefined && leader.address !== message.fromAddress) effects.send(leader.address, { ...message, forwarded: true })
  }

  function handleProbeAnswer (message: ProbeAnswer): void {
    if (message.nonce !== nonce || message.cluster !== null) return
    emptyMembers.set(message.fromAddress, message.from)
    formIfComplete()
  }

  function formIfComplete (): void {
    if (core.log.cluster() !== null || !options.mayForm || !isFormer()) return
    const members = options.memberAddresses.map((address) => emptyMembers.get(address))
    const known = members.filter((member) => member !== undefined)
    // Two addresses with one member id are a copied folder.
    if (new Set(known).size < options.memberAddresses.length) return
    form(options.memberAddresses.map((address, position) => ({ member: known[position] as MemberId, address, role: 'voter' })))
  }

  function form (members: ControlMember[]): void {
    const cluster = clusterId(randomHex())
    const entry: LogEntry = { index: 1, term: FORMATION_TERM, payload: { kind: 'membership', cluster, members } }
    core.log.append([entry])
    if (core.term < FORMATION_TERM) {
      core.term = FORMATION_TERM
      core.votedFor = null
    }
    effects.persist({ kind: 'vote', vote: termVote(core) }, { kind: 'entries', entries: [entry] })
    effects.log('clusterFormed', { cluster, members: members.length })
    onFormed()
  }

  function randomHex (): string {
    const digits = Array.from({ length: 32 }, () => Math.floor(options.random() * 16).toString(16))
    return digits.join('')
  }

  return { tick, handleProbe, handleProbeAnswer }
}

import type { CompactAnswer, CompactHeartbeat, HeartbeatSender } from '../../types/compact-message.js'
import type { DatabaseObservation, Heartbeat, HeartbeatAnswer, ReleasedTerm } from '../../types/control-message.js'
import type { GrantedShare, HeldShare, ShareDemand } from '../../types/share.js'
import { createListDeltaDecoder, createListDeltaEncoder } from '../../utils/list-delta.js'

/** Shorter silences are sent as 0, so that the observation of a database that answers stays the same from one heartbeat to the next. */
const MIN_REPORTED_SILENCE_MS = 300

const resourceOf = ({ resource }: { resource: string }): string => resource
const databaseOf = ({ database }: DatabaseObservation): string => database
const groupOf = ({ group }: ReleasedTerm): string => group

/** The leader does not use the age of a replica's data. Sent unchanged, that age would make almost every observation part of each delta. */
function normalizeObservation (observation: DatabaseObservation): DatabaseObservation {
  const { database, status, silentForMs } = observation
  return {
    database,
    status: status === null ? null : { ...status, ageMs: 0 },
    silentForMs: silentForMs < MIN_REPORTED_SILENCE_MS ? 0 : silentForMs
  }
}

/** @returns a function that encodes the heartbeats of one connection, in the order of sending */
export function createHeartbeatEncoder (): (heartbeat: Heartbeat) => CompactHeartbeat {
  const held = createListDeltaEncoder<HeldShare>(resourceOf)
  const demand = createListDeltaEncoder<ShareDemand>(resourceOf)
  const observations = createListDeltaEncoder<DatabaseObservation>(databaseOf)
  const releasedTerms = createListDeltaEncoder<ReleasedTerm>(groupOf)
  let isFirst = true

  return (heartbeat) => {
    const { version, sequence, draining, leaderTerm, manifestVersion, directoryVersion, instance, incarnation, peerAddress, failureDomain } = heartbeat
    const sender = isFirst ? { instance, incarnation, peerAddress, failureDomain } : null
    isFirst = false
    return {
      version,
      kind: 'compact-heartbeat',
      sequence,
      draining,
      leaderTerm,
      manifestVersion,
      directoryVersion,
      sender,
      // Only a new leader uses the idle time, and only while this instance holds no share.
      ...(heartbeat.idleMs === undefined || heartbeat.idleMs === 0 ? {} : { idleMs: heartbeat.idleMs }),
      held: held.encode(heartbeat.held),
      demand: demand.encode(heartbeat.demand),
      observations: observations.encode(heartbeat.observations.map(normalizeObservation)),
      releasedTerms: releasedTerms.encode(heartbeat.releasedTerms),
      ...(heartbeat.usage === undefined ? {} : { usage: heartbeat.usage })
    }
  }
}

/** @returns a function that decodes the heartbeats of one connection; null when the first one names no sender */
export function createHeartbeatDecoder (): (compact: CompactHeartbeat) => Heartbeat | null {
  const held = createListDeltaDecoder<HeldShare>(resourceOf)
  const demand = createListDeltaDecoder<ShareDemand>(resourceOf)
  const observations = createListDeltaDecoder<DatabaseObservation>(databaseOf)
  const releasedTerms = createListDeltaDecoder<ReleasedTerm>(groupOf)
  let sender: HeartbeatSender | null = null

  return (compact) => {
    sender = compact.sender ?? sender
    if (sender === null) return null
    const { version, sequence, draining, leaderTerm, manifestVersion, directoryVersion } = compact
    return {
      version,
      kind: 'heartbeat',
      sequence,
      draining,
      leaderTerm,
      manifestVersion,
      directoryVersion,
      ...sender,
      ...(compact.idleMs === undefined ? {} : { idleMs: compact.idleMs }),
      held: held.decode(compact.held),
      demand: demand.decode(compact.demand),
      observations: observations.decode(compact.observations),
      releasedTerms: releasedTerms.decode(compact.releasedTerms),
      ...(compact.usage === undefined ? {} : { usage: compact.usage })
    }
  }
}

/** @returns a function that encodes the heartbeat answers of one connection */
export function createAnswerEncoder (): (answer: HeartbeatAnswer) => CompactAnswer {
  const shares = createListDeltaEncoder<GrantedShare>(resourceOf)
  return (answer) => ({ ...answer, kind: 'compact-answer', shares: shares.encode(answer.shares) })
}

/** @returns a function that decodes the heartbeat answers of one connection */
export function createAnswerDecoder (): (compact: CompactAnswer) => HeartbeatAnswer {
  const shares = createListDeltaDecoder<GrantedShare>(resourceOf)
  return (compact) => ({ ...compact, kind: 'heartbeat-answer', shares: shares.decode(compact.shares) })
}

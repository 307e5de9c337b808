import type { Blackboard } from '../../blackboard/blackboard.js'
import { directoryEntry, freshnessEntry, manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { AnnouncementMessage, ControlToEntry, Heartbeat, HeartbeatAnswer, LeaveMessage, NotLeader } from '../../types/control-message.js'
import type { Controller } from '../../types/controller.js'
import type { Directory, DirectoryVersion } from '../../types/directory.js'
import type { Address } from '../../types/ids.js'
import type { LogEvent } from '../../types/log-event.js'
import type { Manifest } from '../../types/manifest.js'
import type { ServiceLevelAcknowledgement, ServiceLevelIncrement } from '../../types/service-level.js'

export interface ControlAttachmentOptions {
  clock: Clock
  blackboard: Blackboard
  logEvent: LogEvent
  /** Addresses of the control instances, or a function that returns the current ones. */
  members: readonly Address[] | (() => readonly Address[])
  /** Completes a heartbeat with the fields that this controller does not own; called for each heartbeat. */
  composeHeartbeat: (known: AttachmentHeartbeatFields) => Heartbeat
  /** Applies the shares of an answer; `sentAt` is the send time of the answered heartbeat. */
  applyShares: (answer: HeartbeatAnswer, sentAt: Milliseconds) => void
  /** Returns the recent announcements of databases, which are sent after each new attachment. Default: none. */
  recentAnnouncements?: () => AnnouncementMessage[]
  /** Called with each message in which the control leader acknowledges a service-level increment of this instance. Default: these messages are ignored. */
  onServiceLevelAcknowledgement?: (message: ServiceLevelAcknowledgement) => void
  /** Time between heartbeats in milliseconds. Default 500. */
  heartbeatMs?: number
  /** Shortest time between two heartbeats in milliseconds. Default 10. */
  minHeartbeatIntervalMs?: number
  /** Duration of the freshness lease in milliseconds. Default 1,500. */
  leaseMs?: number
  /** Time without an answer and without other bytes, in milliseconds, after which the instance moves to another control instance. Default 400. */
  answerTimeoutMs?: number
  /** Delay before the instance dials the next control instance after a failure, in milliseconds. Default 50. */
  redialDelayMs?: number
}

/** The heartbeat fields that the attachment fills in. */
export interface AttachmentHeartbeatFields {
  sequence: number
  leaderTerm: number
  manifestVersion: number
  directoryVersion: DirectoryVersion | null
}

export type AttachmentMessage =
  | { kind: 'connected' }
  | { kind: 'disconnected' }
  | { kind: 'received', message: ControlToEntry }
  /** Bytes arrived on the connection; the message may still be incomplete. */
  | { kind: 'bytes-received' }
  /** State changed, and the leader should receive it before the next periodic heartbeat. */
  | { kind: 'request-heartbeat' }
  /** The message is sent while the instance is attached and dropped otherwise; its origin sends it again. */
  | { kind: 'forward', message: AnnouncementMessage | ServiceLevelIncrement | LeaveMessage }

export type AttachmentEffect =
  | { kind: 'dial', address: Address }
  /** Closes the connection. The adapter must not deliver anything of it after this effect. */
  | { kind: 'close-connection' }
  | { kind: 'send', message: Heartbeat | AnnouncementMessage | ServiceLevelIncrement | LeaveMessage }

function isNewerVersion (version: DirectoryVersion, held: DirectoryVersion | null): boolean {
  if (held === null) return true
  if (version.leaderTerm !== held.leaderTerm) return version.leaderTerm > held.leaderTerm
  return version.counter > held.counter
}

function isSameVersion (left: DirectoryVersion | null, right: DirectoryVersion): boolean {
  return left !== null && left.leaderTerm === right.leaderTerm && left.counter === right.counter
}

/**
 * Keeps an entry instance attached to the control leader and holds its freshness lease.
 * Writes the blackboard entries `manifest`, `directory` and `freshness`.
 *
 * Three rules guard against a control instance that is silently cut off. Only an answer that a majority confirmed renews the
 * lease. The lease starts when the heartbeat was sent. An unanswered heartbeat makes the instance move to another control instance.
 */
export function createControlAttachment (options: ControlAttachmentOptions): Controller<AttachmentMessage, AttachmentEffect> {
  const { clock, logEvent } = options
  const { members: memberSource } = options
  const members = typeof memberSource === 'function' ? memberSource : () => memberSource
  const heartbeatMs = options.heartbeatMs ?? 500
  const minHeartbeatIntervalMs = options.minHeartbeatIntervalMs ?? 10
  const leaseMs = options.leaseMs ?? 1500
  const answerTimeoutMs = options.answerTimeoutMs ?? 400
  const redialDelayMs = options.redialDelayMs ?? 50
  const manifest = options.blackboard.claim(manifestEntry, 'manifest-follower')
  const directory = options.blackboard.claim(directoryEntry, 'directory-follower')
  const freshness = options.blackboard.claim(freshnessEntry, 'freshness-lease')

  const sentTimes = new Map<number, Milliseconds>()
  let state: 'waiting' | 'dialing' | 'attached' = 'waiting'
  let dialAt = clock.now()
  let target = members()[0] as Address
  let sequence = 0
  let lastSentAt: Milliseconds | null = null
  let isHeartbeatRequested = false
  let wasFresh = false
  let lastBytesAt = clock.now()

  function scheduleDial (next: Address, delayMs: number): void {
    state = 'waiting'
    target = next
    dialAt = addTime(clock.now(), delayMs)
    sentTimes.clear()
  }

  function nextMember (): Address {
    const currentMembers = members()
    return currentMembers[(currentMembers.indexOf(target) + 1) % currentMembers.length] as Address
  }

  function moveToNextMember (): AttachmentEffect[] {
    scheduleDial(nextMember(), redialDelayMs)
    return [{ kind: 'close-connection' }]
  }

  function sendHeartbeat (): AttachmentEffect[] {
    const now = clock.now()
    sequence++
    sentTimes.set(sequence, now)
    lastSentAt = now
    isHeartbeatRequested = false
    const fields: AttachmentHeartbeatFields = {
      sequence,
      leaderTerm: freshness.read().leaderTerm,
      manifestVersion: manifest.read()?.version ?? 0,
      directoryVersion: directory.read()?.version ?? null
    }
    return [{ kind: 'send', message: options.composeHeartbeat(fields) }]
  }

  /** Forwards the recent announcements. A new leader knows no databases and could renew no lease until it has received an announcement of each. */
  function forwardAnnouncements (): AttachmentEffect[] {
    const announcements = options.recentAnnouncements?.() ?? []
    return announcements.map((message) => ({ kind: 'send', message }))
  }

  function applyManifest (version: number, content: Manifest): void {
    // The version in force never decreases, so a late or repeated message cannot bring back a withdrawn key.
    if (version <= (manifest.read()?.version ?? 0)) return
    manifest.write({ version, manifest: content })
    logEvent('manifestInForce', { manifestVersion: version })
  }

  function applyDirectory (received: Directory): void {
    if (isNewerVersion(received.version, directory.read()?.version ?? null)) directory.write(received)
  }

  function applyAnswer (answer: HeartbeatAnswer): void {
    const sentAt = sentTimes.get(answer.sequence)
    if (sentAt === undefined) return
    for (const sentSequence of sentTimes.keys()) {
      if (sentSequence <= answer.sequence) sentTimes.delete(sentSequence)
    }
    const current = freshness.read()
    if (answer.leaderTerm < current.leaderTerm) return
    options.applyShares(answer, sentAt)
    if ((manifest.read()?.version ?? 0) < answer.manifestVersion) return
    if (!isSameVersion(directory.read()?.version ?? null, answer.directoryVersion)) return
    const confirmedAt = addTime(sentAt, -(answer.provenMsAgo ?? 0))
    if (confirmedAt < current.confirmedAt) return
    freshness.write({ confirmedAt, validUntil: addTime(confirmedAt, leaseMs), leaderTerm: answer.leaderTerm })
  }

  function redirectToLeader (message: NotLeader): AttachmentEffect[] {
    if (message.leaderAddress === null || message.leaderAddress === target) return moveToNextMember()
    scheduleDial(message.leaderAddress, 0)
    return [{ kind: 'close-connection' }]
  }

  function handleControlMessage (message: ControlToEntry): AttachmentEffect[] {
    if (message.kind === 'not-leader') return redirectToLeader(message)
    if (message.kind === 'manifest') applyManifest(message.manifestVersion, message.manifest)
    if (message.kind === 'directory') applyDirectory(message.directory)
    if (message.kind === 'heartbeat-answer') applyAnswer(message)
    if (message.kind === 'heartbeat-request') isHeartbeatRequested = true
    if (message.kind === 'service-level-acknowledgement') options.onServiceLevelAcknowledgement?.(message)
    return []
  }

  function logFreshnessChange (): void {
    const isFresh = clock.now() < freshness.read().validUntil
    if (isFresh === wasFresh) return
    wasFresh = isFresh
    logEvent(isFresh ? 'freshnessRegained' : 'freshnessLost')
  }

  function isAnswerOverdue (): boolean {
    const oldest = sentTimes.values().next().value
    // The answer may be queued behind a manifest on a slow link. Reconnecting would only make the leader send that manifest again.
    return oldest !== undefined && clock.now() - Math.max(oldest, lastBytesAt) > answerTimeoutMs
  }

  function tick (): AttachmentEffect[] {
    logFreshnessChange()
    if (state === 'waiting') {
      if (clock.now() < dialAt) return []
      state = 'dialing'
      return [{ kind: 'dial', address: target }]
    }
    if (state === 'dialing') return []
    if (isAnswerOverdue()) {
      logEvent('controlChanged', { from: target, to: nextMember() })
      return moveToNextMember()
    }
    const sinceLastHeartbeatMs = lastSentAt === null ? Infinity : clock.now() - lastSentAt
    if (sinceLastHeartbeatMs >= heartbeatMs) return sendHeartbeat()
    if (isHeartbeatRequested && sinceLastHeartbeatMs >= minHeartbeatIntervalMs) return sendHeartbeat()
    return []
  }

  function handle (message: AttachmentMessage): AttachmentEffect[] {
    switch (message.kind) {
      case 'connected':
        state = 'attached'
        return [...sendHeartbeat(), ...forwardAnnouncements()]
      case 'disconnected':
        if (state === 'waiting') return []
        scheduleDial(nextMember(), redialDelayMs)
        return []
      case 'received':
        if (state !== 'attached') return []
        return [...handleControlMessage(message.message), ...tick()]
      case 'bytes-received':
        lastBytesAt = clock.now()
        return []
      case 'request-heartbeat':
        isHeartbeatRequested = true
        return tick()
      case 'forward':
        return state === 'attached' ? [{ kind: 'send', message: message.message }] : []
    }
  }

  return { handle, tick }
}

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
  /** Addresses of the control instances. */
  members: readonly Address[] | (() => readonly Address[])
  /** Fills in what this controller does not know; called for each heartbeat. */
  composeHeartbeat: (known: HeartbeatCore) => Heartbeat
  /** Takes the shares of an answer; `sentAt` is the send time of the heartbeat that was answered. */
  applyShares: (answer: HeartbeatAnswer, sentAt: Milliseconds) => void
  /** Announcements of databases that are still recent; sent after each attachment. Default: none. */
  recentAnnouncements?: () => AnnouncementMessage[]
  /** Takes an acknowledgement of counted requests. Default: it is ignored. */
  onServiceLevelAcknowledgement?: (message: ServiceLevelAcknowledgement) => void
  /** Time between heartbeats in milliseconds. Default 500. */
  heartbeatMs?: number
  /** Shortest time between two heartbeats in milliseconds. Default 10. */
  heartbeatGapMs?: number
  /** Duration of the freshness lease in milliseconds. Default 1,500. */
  leaseMs?: number
  /** A heartbeat unanswered for this long, with nothing else arriving either, makes the instance move to another member, in milliseconds. Default 400. */
  answerLimitMs?: number
  /** Pause before the next member is dialed after a failure, in milliseconds. Default 50. */
  redialMs?: number
}

/** The fields of a heartbeat that the attachment owns. */
export interface HeartbeatCore {
  sequence: number
  leaderTerm: number
  manifestVersion: number
  directoryVersion: DirectoryVersion | null
}

export type AttachmentMessage =
  | { kind: 'connected' }
  | { kind: 'disconnected' }
  | { kind: 'received', message: ControlToEntry }
  /** Bytes arrived, of an incomplete message at least. */
  | { kind: 'hearing' }
  /** Something changed that the leader should know at once. */
  | { kind: 'heartbeat-wanted' }
  /** Sent when attached, dropped otherwise; the sender repeats it. */
  | { kind: 'forward', message: AnnouncementMessage | ServiceLevelIncrement | LeaveMessage }

export type AttachmentEffect =
  | { kind: 'dial', address: Address }
  /** After this effect nothing of the former connection is delivered any more. */
  | { kind: 'hang-up' }
  | { kind: 'send', message: Heartbeat | AnnouncementMessage | ServiceLevelIncrement | LeaveMessage }

function isNewer (version: DirectoryVersion, held: DirectoryVersion | null): boolean {
  if (held === null) return true
  if (version.leaderTerm !== held.leaderTerm) return version.leaderTerm > held.leaderTerm
  return version.counter > held.counter
}

function isSame (left: DirectoryVersion | null, right: DirectoryVersion): boolean {
  return left !== null && left.leaderTerm === right.leaderTerm && left.counter === right.counter
}

/**
 * Keeps an entry instance attached to the control leader and holds its freshness lease.
 * Writes the entries `manifest`, `directory` and `freshness`.
 *
 * Guards against a control member that is silently cut off: only an answer that a majority confirmed renews
 * the lease, the lease starts at the send time of the heartbeat, and an unanswered heartbeat makes the instance move on.
 */
export function createControlAttachment (options: ControlAttachmentOptions): Controller<AttachmentMessage, AttachmentEffect> {
  const { clock, logEvent } = options
  const { members: given } = options
  const members = typeof given === 'function' ? given : () => given
  const heartbeatMs = options.heartbeatMs ?? 500
  const heartbeatGapMs = options.heartbeatGapMs ?? 10
  const leaseMs = options.leaseMs ?? 1500
  const answerLimitMs = options.answerLimitMs ?? 400
  const redialMs = options.redialMs ?? 50
  const manifest = options.blackboard.claim(manifestEntry, 'manifest-follower')
  const directory = options.blackboard.claim(directoryEntry, 'directory-follower')
  const freshness = options.blackboard.claim(freshnessEntry, 'freshness-lease')

  const sentTimes = new Map<number, Milliseconds>()
  let state: 'waiting' | 'dialing' | 'attached' = 'waiting'
  let dialAt = clock.now()
  let target = members()[0] as Address
  let sequence = 0
  let lastSentAt: Milliseconds | null = null
  let heartbeatWanted = false
  let wasFresh = false
  let heardAt = clock.now()

  function moveTo (next: Address, delayMs: number): void {
    state = 'waiting'
    target = next
    dialAt = addTime(clock.now(), delayMs)
    sentTimes.clear()
  }

  function nextMember (): Address {
    const known = members()
    return known[(known.indexOf(target) + 1) % known.length] as Address
  }

  function leave (): AttachmentEffect[] {
    moveTo(nextMember(), redialMs)
    return [{ kind: 'hang-up' }]
  }

  function sendHeartbeat (): AttachmentEffect[] {
    const now = clock.now()
    sequence++
    sentTimes.set(sequence, now)
    lastSentAt = now
    heartbeatWanted = false
    const core: HeartbeatCore = {
      sequence,
      leaderTerm: freshness.read().leaderTerm,
      manifestVersion: manifest.read()?.version ?? 0,
      directoryVersion: directory.read()?.version ?? null
    }
    return [{ kind: 'send', message: options.composeHeartbeat(core) }]
  }

  /** A new leader knows no databases. Without these it would wait for the next announcement of each, and no lease could be renewed meanwhile. */
  function forwardAnnouncements (): AttachmentEffect[] {
    const announcements = options.recentAnnouncements?.() ?? []
    return announcements.map((message) => ({ kind: 'send', message }))
  }

  function applyManifest (version: number, content: Manifest): void {
    // A version only ever rises: a late or repeated message must not bring back a withdrawn key.
    if (version <= (manifest.read()?.version ?? 0)) return
    manifest.write({ version, manifest: content })
    logEvent('manifestInForce', { manifestVersion: version })
  }

  function applyDirectory (received: Directory): void {
    if (isNewer(received.version, directory.read()?.version ?? null)) directory.write(received)
  }

  function applyAnswer (answer: HeartbeatAnswer): void {
    const sentAt = sentTimes.get(answer.sequence)
    if (sentAt === undefined) return
    for (const known of sentTimes.keys()) {
      if (known <= answer.sequence) sentTimes.delete(known)
    }
    const current = freshness.read()
    if (answer.leaderTerm < current.leaderTerm) return
    options.applyShares(answer, sentAt)
    if ((manifest.read()?.version ?? 0) < answer.manifestVersion) return
    if (!isSame(directory.read()?.version ?? null, answer.directoryVersion)) return
    const provenAt = addTime(sentAt, -(answer.provenMsAgo ?? 0))
    if (provenAt < current.provenAt) return
    freshness.write({ provenAt, validUntil: addTime(provenAt, leaseMs), leaderTerm: answer.leaderTerm })
  }

  function followLeader (message: NotLeader): AttachmentEffect[] {
    if (message.leaderAddress === null || message.leaderAddress === target) return leave()
    moveTo(message.leaderAddress, 0)
    return [{ kind: 'hang-up' }]
  }

  function receive (message: ControlToEntry): AttachmentEffect[] {
    if (message.kind === 'not-leader') return followLeader(message)
    if (message.kind === 'manifest') applyManifest(message.manifestVersion, message.manifest)
    if (message.kind === 'directory') applyDirectory(message.directory)
    if (message.kind === 'heartbeat-answer') applyAnswer(message)
    if (message.kind === 'heartbeat-request') heartbeatWanted = true
    if (message.kind === 'service-level-acknowledgement') options.onServiceLevelAcknowledgement?.(message)
    return []
  }

  function noteFreshness (): void {
    const isFresh = clock.now() < freshness.read().validUntil
    if (isFresh === wasFresh) return
    wasFresh = isFresh
    logEvent(isFresh ? 'freshnessRegained' : 'freshnessLost')
  }

  function isOverdue (): boolean {
    const oldest = sentTimes.values().next().value
    // An answer may wait behind a manifest on a slow link; a new connection would have that sent once more.
    return oldest !== undefined && clock.now() - Math.max(oldest, heardAt) > answerLimitMs
  }

  function tick (): AttachmentEffect[] {
    noteFreshness()
    if (state === 'waiting') {
      if (clock.now() < dialAt) return []
      state = 'dialing'
      return [{ kind: 'dial', address: target }]
    }
    if (state === 'dialing') return []
    if (isOverdue()) {
      logEvent('controlChanged', { from: target, to: nextMember() })
      return leave()
    }
    const sinceLast = lastSentAt === null ? Infinity : clock.now() - lastSentAt
    if (sinceLast >= heartbeatMs) return sendHeartbeat()
    if (heartbeatWanted && sinceLast >= heartbeatGapMs) return sendHeartbeat()
    return []
  }

  function handle (message: AttachmentMessage): AttachmentEffect[] {
    switch (message.kind) {
      case 'connected':
        state = 'attached'
        return [...sendHeartbeat(), ...forwardAnnouncements()]
      case 'disconnected':
        if (state === 'waiting') return []
        moveTo(nextMember(), redialMs)
        return []
      case 'received':
        if (state !== 'attached') return []
        return [...receive(message.message), ...tick()]
      case 'hearing':
        heardAt = clock.now()
        return []
      case 'heartbeat-wanted':
        heartbeatWanted = true
        return tick()
      case 'forward':
        return state === 'attached' ? [{ kind: 'send', message: message.message }] : []
    }
  }

  return { handle, tick }
}

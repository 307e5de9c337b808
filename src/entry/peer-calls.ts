import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { dialChannel } from '../adapters/ws/dial-channel.js'
import type { Hello, MessageChannel } from '../adapters/ws/message-channel.js'
import type { PeerCalls, PeerCallFailure } from '../decisions/caller-sessions/borrowed-session.js'
import { createPeerClock } from '../decisions/membership/peer-clock.js'
import type { PeerClock } from '../decisions/membership/peer-clock.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import { addTime, milliseconds } from '../types/clock.js'
import type { DirectoryInstance } from '../types/directory.js'
import type { Address, InstanceId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { PeerCallAnswer, PeerCallBody, PeerCallMessage } from '../types/session-peer-message.js'

/** Longest wait for a channel to another instance, in milliseconds: many round trips, and a handshake under high load. */
const CONNECT_TIMEOUT_MS = 250
/** Time for which no requests are sent to an instance that was unreachable or is draining, or whose channel ended, in milliseconds. The leader removes a lost instance after its lease. */
const AVOID_MS = 1000

export interface PeerCallsOptions {
  clock: Clock
  /** A clock without forward steps, to which the clocks of other instances are compared. */
  steadyClock: Clock
  hello: Hello
  clusterSecret: string
  logEvent: LogEvent
  /** Whether calls are compressed where the other instance supports it. Default: false. */
  compresses?: boolean
  after: (durationMs: number, callback: () => void) => () => void
  /** Called with the time from sending a call until its answer, without the time that the other instance reports to have spent. */
  onRoundTrip?: (peer: DirectoryInstance, roundTripMs: number) => void
}

/** Calls over channels to other instances. The first call to an instance opens its channel. */
export interface PeerCallChannels extends PeerCalls {
  /** Closes the channels to instances that are not listed or have another address now. */
  keepOnly: (peers: readonly DirectoryInstance[]) => void
  /** Opens the channel to an instance ahead of the first call. A failure has no effect on calls. */
  prepare: (peer: DirectoryInstance) => void
  /** @returns whether a channel to the instance is open or being opened */
  hasChannel: (peer: InstanceId) => boolean
  /** @returns the number of open channels */
  countOpen: () => number
  close: () => void
}

interface PeerLink {
  address: Address
  channel: MessageChannel | null
  dialing: Promise<void> | null
  /** Clock of the instance that the channel reaches. */
  peerClock: PeerClock
  /** Calls in flight, by their number. */
  open: Map<number, (answer: Result<PeerCallAnswer['body'], PeerCallFailure>) => void>
}

/** @returns the time that the other instance reports to have spent on a call, in milliseconds; 0 where it reports none */
function sumHolderTimesMs (body: PeerCallAnswer['body']): number {
  const timing = body.kind === 'reply' ? body.reply.holderTiming : undefined
  return timing === undefined ? 0 : timing.connectionMs + timing.databaseMs
}

/** @returns calls without open channels */
export function createPeerCalls ({ clock, steadyClock, hello, clusterSecret, logEvent, compresses = false, after, onRoundTrip }: PeerCallsOptions): PeerCallChannels {
  const links = new Map<InstanceId, PeerLink>()
  const avoidedUntil = new Map<InstanceId, Milliseconds>()
  let callCount = 0

  function avoid (peer: InstanceId): void {
    avoidedUntil.set(peer, addTime(clock.now(), AVOID_MS))
  }

  function findOrCreateLink (peer: DirectoryInstance): PeerLink {
    const known = links.get(peer.instance)
    if (known !== undefined && known.address === peer.peerAddress) return known
    if (known !== undefined) removeLink(peer.instance, known)
    const link: PeerLink = { address: peer.peerAddress, channel: null, dialing: null, peerClock: createPeerClock(steadyClock), open: new Map() }
    links.set(peer.instance, link)
    return link
  }

  async function dial (peer: InstanceId, link: PeerLink): Promise<void> {
    const dialed = await dialChannel({ address: link.address, hello, clusterSecret, tls: null, logEvent, pings: 'while-waiting', compresses })
    link.dialing = null
    if (dialed.isErr()) return
    const channel = dialed.value
    if (links.get(peer) !== link) return channel.close()
    link.channel = channel
    // The instance may have been restarted since the last channel.
    link.peerClock = createPeerClock(steadyClock)
    if (channel.peerTime !== null) link.peerClock.record(channel.peerTime)
    channel.onMessage((message) => {
      const { call, now, body } = message as PeerCallAnswer
      if (now !== undefined) link.peerClock.record(now)
      settle(link, call, ok(body))
    })
    channel.onEnd(() => { handleChannelEnd(peer, link) })
  }

  function handleChannelEnd (peer: InstanceId, link: PeerLink): void {
    link.channel = null
    if (links.get(peer) === link) {
      avoid(peer)
      logEvent('peerConnectionLost', { peer, openCalls: link.open.size })
    }
    for (const call of [...link.open.keys()]) settle(link, call, err('lost'))
  }

  function settle (link: PeerLink, call: number, answer: Result<PeerCallAnswer['body'], PeerCallFailure>): void {
    const resolve = link.open.get(call)
    link.open.delete(call)
    if (link.open.size === 0) link.channel?.setWaiting(false)
    resolve?.(answer)
  }

  async function waitForChannel (peer: InstanceId, link: PeerLink): Promise<boolean> {
    if (link.channel !== null) return true
    link.dialing ??= dial(peer, link)
    let cancel = (): void => {}
    const timeout = new Promise<void>((resolve) => { cancel = after(CONNECT_TIMEOUT_MS, resolve) })
    await Promise.race([link.dialing, timeout])
    cancel()
    if (link.channel === null) avoid(peer)
    return link.channel !== null
  }

  async function call (peer: DirectoryInstance, body: PeerCallBody, limitMs: number): Promise<Result<PeerCallAnswer['body'], PeerCallFailure>> {
    const expiresAt = addTime(clock.now(), limitMs)
    const link = findOrCreateLink(peer)
    if (link.channel === null && !await waitForChannel(peer.instance, link)) return err('unsent')
    const { channel } = link
    const remainingMs = expiresAt - clock.now()
    if (channel === null || remainingMs <= 0) return err('unsent')
    const callNumber = ++callCount
    return await new Promise((resolve) => {
      const cancel = after(remainingMs, () => { settle(link, callNumber, err('lost')) })
      const sentAt = clock.now()
      link.open.set(callNumber, (answer) => {
        cancel()
        if (answer.isOk()) onRoundTrip?.(peer, Math.max(0, clock.now() - sentAt - sumHolderTimesMs(answer.value)))
        resolve(answer)
      })
      channel.setWaiting(true)
      const sendBy = link.peerClock.timeAfter(Math.min(remainingMs, channel.minSilenceMs()))
      const sentBody = body.kind === 'run-borrowed' ? { ...body, limitMs: Math.round(remainingMs), sendBy } : body
      channel.send({ kind: 'call', call: callNumber, body: sentBody } satisfies PeerCallMessage)
    })
  }

  function removeLink (peer: InstanceId, link: PeerLink): void {
    links.delete(peer)
    link.channel?.close()
  }

  return {
    call,
    avoid,
    canRequest: (peer) => clock.now() >= (avoidedUntil.get(peer) ?? milliseconds(0)),
    endLoan: (peer, loan, keep) => { links.get(peer.instance)?.channel?.send({ kind: 'end-loan', loan, keep } satisfies PeerCallMessage) },
    keepOnly: (peers) => {
      const addresses = new Map(peers.map(({ instance, peerAddress }) => [instance, peerAddress]))
      for (const [peer, link] of links) if (addresses.get(peer) !== link.address) removeLink(peer, link)
      for (const [peer, until] of avoidedUntil) if (clock.now() >= until) avoidedUntil.delete(peer)
    },
    prepare: (peer) => {
      const link = findOrCreateLink(peer)
      if (link.channel === null) link.dialing ??= dial(peer.instance, link)
    },
    hasChannel: (peer) => {
      const link = links.get(peer)
      return link !== undefined && (link.channel !== null || link.dialing !== null)
    },
    countOpen: () => [...links.values()].filter(({ channel }) => channel !== null).length,
    close: () => { for (const [peer, link] of [...links]) removeLink(peer, link) }
  }
}

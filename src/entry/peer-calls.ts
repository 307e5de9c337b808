import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { dialChannel } from '../adapters/ws/dial-channel.js'
import type { Hello, MessageChannel } from '../adapters/ws/message-channel.js'
import type { PeerCalls, PeerCallFailure } from '../decisions/caller-sessions/borrowed-session.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import { addTime, milliseconds } from '../types/clock.js'
import type { DirectoryInstance } from '../types/directory.js'
import type { Address, InstanceId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { PeerCallAnswer, PeerCallBody, PeerCallMessage } from '../types/session-peer-message.js'

/** Longest wait for a channel to another instance in milliseconds: many round trips, and a handshake on a busy machine. */
const CONNECT_WAIT_MS = 250
/** An instance that could not be reached or was lost is not asked for this long, in milliseconds; the leader removes a dead one after its lease. */
const AVOID_MS = 1000

export interface PeerCallsOptions {
  clock: Clock
  hello: Hello
  clusterSecret: string
  logEvent: LogEvent
  after: (durationMs: number, callback: () => void) => () => void
}

/** Channels to other instances, opened at the first call. */
export interface PeerCallLinks extends PeerCalls {
  /** Closes channels to instances that are not listed, or that have moved. */
  keepOnly: (peers: readonly DirectoryInstance[]) => void
  connectedCount: () => number
  close: () => void
}

interface Link {
  address: Address
  channel: MessageChannel | null
  dialing: Promise<void> | null
  open: Map<number, (answer: Result<PeerCallAnswer['body'], PeerCallFailure>) => void>
}

/** Creates the calls; no channel is open. */
export function createPeerCalls ({ clock, hello, clusterSecret, logEvent, after }: PeerCallsOptions): PeerCallLinks {
  const links = new Map<InstanceId, Link>()
  const avoidedUntil = new Map<InstanceId, Milliseconds>()
  let callCount = 0

  function avoid (peer: InstanceId): void {
    avoidedUntil.set(peer, addTime(clock.now(), AVOID_MS))
  }

  function linkTo (peer: DirectoryInstance): Link {
    const known = links.get(peer.instance)
    if (known !== undefined && known.address === peer.peerAddress) return known
    if (known !== undefined) drop(peer.instance, known)
    const link: Link = { address: peer.peerAddress, channel: null, dialing: null, open: new Map() }
    links.set(peer.instance, link)
    return link
  }

  async function dial (peer: InstanceId, link: Link): Promise<void> {
    const dialed = await dialChannel({ address: link.address, hello, clusterSecret, tls: null, pings: 'while-waiting' })
    link.dialing = null
    if (dialed.isErr()) return
    const channel = dialed.value
    if (links.get(peer) !== link) return channel.close()
    link.channel = channel
    channel.onMessage((message) => {
      const { call, body } = message as PeerCallAnswer
      settle(link, call, ok(body))
    })
    channel.onEnd(() => { lose(peer, link) })
  }

  function lose (peer: InstanceId, link: Link): void {
    link.channel = null
    if (links.get(peer) === link) {
      avoid(peer)
      logEvent('peerConnectionLost', { peer, openCalls: link.open.size })
    }
    for (const call of [...link.open.keys()]) settle(link, call, err('lost'))
  }

  function settle (link: Link, call: number, answer: Result<PeerCallAnswer['body'], PeerCallFailure>): void {
    const resolve = link.open.get(call)
    link.open.delete(call)
    if (link.open.size === 0) link.channel?.setWaiting(false)
    resolve?.(answer)
  }

  async function connect (peer: InstanceId, link: Link): Promise<boolean> {
    if (link.channel !== null) return true
    link.dialing ??= dial(peer, link)
    let cancel = (): void => {}
    const timeout = new Promise<void>((resolve) => { cancel = after(CONNECT_WAIT_MS, resolve) })
    await Promise.race([link.dialing, timeout])
    cancel()
    if (link.channel === null) avoid(peer)
    return link.channel !== null
  }

  async function call (peer: DirectoryInstance, body: PeerCallBody, limitMs: number): Promise<Result<PeerCallAnswer['body'], PeerCallFailure>> {
    const giveUpAt = addTime(clock.now(), limitMs)
    const link = linkTo(peer)
    if (link.channel === null && !await connect(peer.instance, link)) return err('unsent')
    const { channel } = link
    const leftMs = giveUpAt - clock.now()
    if (channel === null || leftMs <= 0) return err('unsent')
    const number = ++callCount
    return await new Promise((resolve) => {
      const cancel = after(leftMs, () => { settle(link, number, err('lost')) })
      link.open.set(number, (answer) => {
        cancel()
        resolve(answer)
      })
      channel.setWaiting(true)
      const sent = body.kind === 'run-borrowed' ? { ...body, limitMs: Math.round(leftMs) } : body
      channel.send({ kind: 'call', call: number, body: sent } satisfies PeerCallMessage)
    })
  }

  function drop (peer: InstanceId, link: Link): void {
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
      for (const [peer, link] of links) if (addresses.get(peer) !== link.address) drop(peer, link)
      for (const [peer, until] of avoidedUntil) if (clock.now() >= until) avoidedUntil.delete(peer)
    },
    connectedCount: () => [...links.values()].filter(({ channel }) => channel !== null).length,
    close: () => { for (const [peer, link] of [...links]) drop(peer, link) }
  }
}

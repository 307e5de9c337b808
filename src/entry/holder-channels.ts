import { monotonicClock } from '../adapters/timers/monotonic-clock.js'
import { dialChannel } from '../adapters/ws/dial-channel.js'
import type { Hello, MessageChannel } from '../adapters/ws/message-channel.js'
import type { TlsFiles } from '../adapters/ws/tls-files.js'
import { createPeerClock } from '../decisions/membership/peer-clock.js'
import type { PeerClock } from '../decisions/membership/peer-clock.js'
import type { Address, InstanceId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { Answer, Execute, PeerMessage } from '../types/peer-message.js'

/** Delay before the next dial after a channel has ended or a dial has failed, in milliseconds. */
const REDIAL_DELAY_MS = 200

export interface HolderChannelsOptions {
  hello: Hello
  clusterSecret: string
  tls: TlsFiles | null
  onAnswer: (from: InstanceId, answer: Answer) => void
  /** Called when the channel to a connection holder has opened. */
  onOpened: (holder: InstanceId) => void
  /** Called when the channel to a connection holder has ended. Requests sent over it get no answer. */
  onLost: (holder: InstanceId) => void
  logEvent: LogEvent
}

/** Channels from this instance to the connection holders to which it sends requests. */
export interface HolderChannels {
  /** Keeps channels to exactly these instances: dials new ones, and closes the channels to all others. */
  setHolders: (holders: ReadonlyMap<InstanceId, Address>) => void
  /** @returns whether a channel was open and the message was sent over it */
  send: (holder: InstanceId, message: PeerMessage) => boolean
  isConnected: (holder: InstanceId) => boolean
  /** @returns the number of open channels */
  countOpen: () => number
  close: () => void
}

interface Holder {
  address: Address
  channel: MessageChannel | null
  peerClock: PeerClock
  isWanted: boolean
}

/** @returns holder channels of which none is open; nothing is dialed before the first call of `setHolders` */
export function createHolderChannels (options: HolderChannelsOptions): HolderChannels {
  const holders = new Map<InstanceId, Holder>()
  let isClosed = false

  function scheduleRedial (name: InstanceId, holder: Holder): void {
    setTimeout(() => { connect(name, holder) }, REDIAL_DELAY_MS).unref()
  }

  async function connect (name: InstanceId, holder: Holder): Promise<void> {
    if (!holder.isWanted || isClosed) return
    const { hello, clusterSecret, tls, logEvent } = options
    const dialed = await dialChannel({ address: holder.address, hello, clusterSecret, tls, logEvent })
    if (dialed.isErr()) {
      scheduleRedial(name, holder)
      return
    }
    const channel = dialed.value
    if (!holder.isWanted || isClosed) {
      channel.close()
      return
    }
    holder.channel = channel
    // The instance may have been restarted since the last channel.
    holder.peerClock = createPeerClock(monotonicClock)
    if (channel.peerTime !== null) holder.peerClock.record(channel.peerTime)
    channel.onMessage((message) => {
      const answer = message as PeerMessage
      if (answer.kind !== 'answer') return
      if (answer.now !== undefined) holder.peerClock.record(answer.now)
      options.onAnswer(name, answer)
    })
    channel.onEnd(() => {
      holder.channel = null
      if (holder.isWanted && !isClosed) options.logEvent('peerConnectionLost', { peer: name })
      options.onLost(name)
      scheduleRedial(name, holder)
    })
    options.onOpened(name)
  }

  /** Adds the time from which this instance may have stopped waiting: at the deadline, or when the channel ends for silence. */
  function addTimeLimit (request: Execute, channel: MessageChannel, peerClock: PeerClock): Execute {
    const startBy = peerClock.timeAfter(Math.min(request.remainingMs, channel.minSilenceMs()))
    return startBy === null ? request : { ...request, startBy }
  }

  function removeHolder (name: InstanceId, holder: Holder): void {
    holder.isWanted = false
    holders.delete(name)
    holder.channel?.close()
  }

  return {
    setHolders: (wanted) => {
      for (const [name, holder] of holders) {
        if (wanted.get(name) !== holder.address) removeHolder(name, holder)
      }
      for (const [name, address] of wanted) {
        if (holders.has(name)) continue
        const holder: Holder = { address, channel: null, peerClock: createPeerClock(monotonicClock), isWanted: true }
        holders.set(name, holder)
        connect(name, holder)
      }
    },
    send: (name, message) => {
      const holder = holders.get(name)
      if (holder === undefined || holder.channel === null) return false
      holder.channel.send(message.kind === 'execute' ? addTimeLimit(message, holder.channel, holder.peerClock) : message)
      return true
    },
    isConnected: (name) => (holders.get(name)?.channel ?? null) !== null,
    countOpen: () => [...holders.values()].filter((holder) => holder.channel !== null).length,
    close: () => {
      isClosed = true
      for (const [name, holder] of [...holders]) removeHolder(name, holder)
    }
  }
}

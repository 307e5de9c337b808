import { dialChannel } from '../adapters/ws/dial-channel.js'
import type { Hello, MessageChannel } from '../adapters/ws/message-channel.js'
import type { TlsFiles } from '../adapters/ws/tls-files.js'
import type { Address, InstanceId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { Answer, PeerMessage } from '../types/peer-message.js'

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
    const { hello, clusterSecret, tls } = options
    const dialed = await dialChannel({ address: holder.address, hello, clusterSecret, tls })
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
    channel.onMessage((message) => {
      const answer = message as PeerMessage
      if (answer.kind === 'answer') options.onAnswer(name, answer)
    })
    channel.onEnd(() => {
      holder.channel = null
      if (holder.isWanted && !isClosed) options.logEvent('peerConnectionLost', { peer: name })
      options.onLost(name)
      scheduleRedial(name, holder)
    })
    options.onOpened(name)
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
        const holder: Holder = { address, channel: null, isWanted: true }
        holders.set(name, holder)
        connect(name, holder)
      }
    },
    send: (name, message) => {
      const channel = holders.get(name)?.channel ?? null
      if (channel === null) return false
      channel.send(message)
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

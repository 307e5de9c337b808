import { dialChannel } from '../adapters/ws/dial-channel.js'
import type { Hello, MessageChannel } from '../adapters/ws/message-channel.js'
import type { TlsFiles } from '../adapters/ws/tls-files.js'
import type { Address } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'

/** Pause after a failed attempt to connect to a member, in milliseconds. */
const REDIAL_PAUSE_MS = 100

export interface MemberTransportOptions {
  hello: Hello
  clusterSecret: string
  tls: TlsFiles | null
  logEvent: LogEvent
}

/** Sends consensus messages to other members. Messages may be lost; the consensus controller sends again what matters. */
export interface MemberTransport {
  /** Sends a message. If there is no channel to the member, connects to it and drops messages until it is connected. */
  send: (address: Address, message: unknown) => void
  /** @returns bytes sent to all members so far */
  sentBytes: () => number
  /** Closes all channels; later messages are dropped. */
  close: () => void
}

interface Link {
  channel: MessageChannel | null
  state: 'dialing' | 'open' | 'pausing'
}

/** Creates a transport without connections; the first message to a member connects to it. */
export function createMemberTransport (options: MemberTransportOptions): MemberTransport {
  const links = new Map<Address, Link>()
  let isClosed = false
  let closedLinkBytes = 0

  async function connect (address: Address): Promise<void> {
    const link: Link = { channel: null, state: 'dialing' }
    links.set(address, link)
    const dialed = await dialChannel({ address, ...options })
    if (dialed.isErr()) {
      link.state = 'pausing'
      setTimeout(() => { links.delete(address) }, REDIAL_PAUSE_MS).unref()
      return
    }
    if (isClosed) {
      dialed.value.close()
      return
    }
    link.channel = dialed.value
    link.state = 'open'
    dialed.value.onEnd(() => {
      closedLinkBytes += dialed.value.countMessageBytes().sent
      links.delete(address)
    })
  }

  return {
    send: (address, message) => {
      if (isClosed) return
      const link = links.get(address)
      if (link === undefined) {
        connect(address)
        return
      }
      link.channel?.send(message)
    },
    sentBytes: () => [...links.values()].reduce((sum, link) => sum + (link.channel?.countMessageBytes().sent ?? 0), closedLinkBytes),
    close: () => {
      isClosed = true
      for (const link of links.values()) link.channel?.close()
    }
  }
}

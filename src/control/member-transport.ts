import { dialChannel } from '../adapters/ws/dial-channel.js'
import type { Hello, MessageChannel } from '../adapters/ws/message-channel.js'
import type { TlsFiles } from '../adapters/ws/tls-files.js'
import type { Address } from '../types/ids.js'

/** Pause after a failed dial in milliseconds. */
const REDIAL_MS = 100

export interface MemberTransportOptions {
  hello: Hello
  clusterSecret: string
  tls: TlsFiles | null
}

/** Sends consensus messages to other members. Messages may be lost; the log repeats what matters. */
export interface MemberTransport {
  send: (address: Address, message: unknown) => void
  /** @returns bytes sent so far */
  sentBytes: () => number
  close: () => void
}

interface Link {
  channel: MessageChannel | null
  state: 'dialing' | 'open' | 'pausing'
}

export function createMemberTransport (options: MemberTransportOptions): MemberTransport {
  const links = new Map<Address, Link>()
  let closed = false
  let formerBytes = 0

  async function connect (address: Address): Promise<void> {
    const link: Link = { channel: null, state: 'dialing' }
    links.set(address, link)
    const dialed = await dialChannel({ address, ...options })
    if (dialed.isErr()) {
      link.state = 'pausing'
      setTimeout(() => { links.delete(address) }, REDIAL_MS).unref()
      return
    }
    if (closed) {
      dialed.value.close()
      return
    }
    link.channel = dialed.value
    link.state = 'open'
    dialed.value.onEnd(() => {
      formerBytes += dialed.value.byteCounts().sent
      links.delete(address)
    })
  }

  return {
    send: (address, message) => {
      if (closed) return
      const link = links.get(address)
      if (link === undefined) {
        connect(address)
        return
      }
      link.channel?.send(message)
    },
    sentBytes: () => [...links.values()].reduce((sum, link) => sum + (link.channel?.byteCounts().sent ?? 0), formerBytes),
    close: () => {
      closed = true
      for (const link of links.values()) link.channel?.close()
    }
  }
}

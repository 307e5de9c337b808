import { dialChannel } from '../adapters/ws/dial-channel.js'
import type { Hello, MessageChannel } from '../adapters/ws/message-channel.js'
import type { TlsFiles } from '../adapters/ws/tls-files.js'
import type { Address, InstanceId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { Answer, PeerMessage } from '../types/peer-message.js'

/** Pause after a failed dial in milliseconds. */
const REDIAL_MS = 200

export interface PeerMeshOptions {
  hello: Hello
  clusterSecret: string
  tls: TlsFiles | null
  onAnswer: (from: InstanceId, answer: Answer) => void
  /** The channel to a peer opened. */
  onConnected: (peer: InstanceId) => void
  /** The channel to a peer ended; requests sent over it get no answer. */
  onLost: (peer: InstanceId) => void
  logEvent: LogEvent
}

/** Channels from this instance to the holders that it forwards requests to. */
export interface PeerMesh {
  /** Keeps channels to exactly these peers. */
  setPeers: (peers: ReadonlyMap<InstanceId, Address>) => void
  /** @returns whether the message was handed to an open channel */
  send: (peer: InstanceId, message: PeerMessage) => boolean
  isConnected: (peer: InstanceId) => boolean
  connectedCount: () => number
  close: () => void
}

interface Peer {
  address: Address
  channel: MessageChannel | null
  wanted: boolean
}

export function createPeerMesh (options: PeerMeshOptions): PeerMesh {
  const peers = new Map<InstanceId, Peer>()
  let closed = false

  function redialLater (name: InstanceId, peer: Peer): void {
    setTimeout(() => { connect(name, peer) }, REDIAL_MS).unref()
  }

  async function connect (name: InstanceId, peer: Peer): Promise<void> {
    if (!peer.wanted || closed) return
    const { hello, clusterSecret, tls } = options
    const dialed = await dialChannel({ address: peer.address, hello, clusterSecret, tls })
    if (dialed.isErr()) {
      redialLater(name, peer)
      return
    }
    const channel = dialed.value
    if (!peer.wanted || closed) {
      channel.close()
      return
    }
    peer.channel = channel
    channel.onMessage((message) => {
      const answer = message as PeerMessage
      if (answer.kind === 'answer') options.onAnswer(name, answer)
    })
    channel.onEnd(() => {
      peer.channel = null
      if (peer.wanted && !closed) options.logEvent('peerConnectionLost', { peer: name })
      options.onLost(name)
      redialLater(name, peer)
    })
    options.onConnected(name)
  }

  function drop (name: InstanceId, peer: Peer): void {
    peer.wanted = false
    peers.delete(name)
    peer.channel?.close()
  }

  return {
    setPeers: (wanted) => {
      for (const [name, peer] of peers) {
        if (wanted.get(name) !== peer.address) drop(name, peer)
      }
      for (const [name, address] of wanted) {
        if (peers.has(name)) continue
        const peer: Peer = { address, channel: null, wanted: true }
        peers.set(name, peer)
        connect(name, peer)
      }
    },
    send: (name, message) => {
      const channel = peers.get(name)?.channel ?? null
      if (channel === null) return false
      channel.send(message)
      return true
    },
    isConnected: (name) => (peers.get(name)?.channel ?? null) !== null,
    connectedCount: () => [...peers.values()].filter((peer) => peer.channel !== null).length,
    close: () => {
      closed = true
      for (const [name, peer] of [...peers]) drop(name, peer)
    }
  }
}

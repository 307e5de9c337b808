import { dialChannel } from '../adapters/ws/dial-channel.js'
import type { ChannelPings, Hello, MessageChannel } from '../adapters/ws/message-channel.js'
import type { TlsFiles } from '../adapters/ws/tls-files.js'
import type { AttachmentEffect, AttachmentMessage } from '../decisions/freshness/control-attachment.js'
import { createAnswerDecoder, createHeartbeatEncoder } from '../decisions/freshness/heartbeat-codec.js'
import type { CompactAnswer } from '../types/compact-message.js'
import type { ControlToEntry } from '../types/control-message.js'
import type { Controller } from '../types/controller.js'
import type { Address } from '../types/ids.js'

export interface ControlLinkOptions {
  attachment: Controller<AttachmentMessage, AttachmentEffect>
  hello: Hello
  clusterSecret: string
  tls: TlsFiles | null
  /** Default: `always`. Heartbeats that stay unanswered tell as much. */
  pings?: ChannelPings
}

/** Carries out the effects of the control attachment. */
export interface ControlLink {
  handle: (message: AttachmentMessage) => void
  tick: () => void
  /** @returns bytes of control messages so far, both directions */
  byteCount: () => number
  close: () => void
}

export function createControlLink (options: ControlLinkOptions): ControlLink {
  const { attachment, hello, clusterSecret, tls, pings = 'always' } = options
  let channel: MessageChannel | null = null
  let encodeHeartbeat = createHeartbeatEncoder()
  // Counts dials, so that the result of one that was given up is ignored.
  let dialNumber = 0
  let formerBytes = 0
  let arrivedBefore = 0
  let closed = false

  function countBytes (ended: MessageChannel): void {
    const { sent, received } = ended.byteCounts()
    formerBytes += sent + received
  }

  async function dial (address: Address): Promise<void> {
    const number = ++dialNumber
    const dialed = await dialChannel({ address, hello, clusterSecret, tls, pings })
    if (number !== dialNumber || closed) {
      if (dialed.isOk()) dialed.value.close()
      return
    }
    if (dialed.isErr()) {
      handle({ kind: 'disconnected' })
      return
    }
    attach(dialed.value, number)
  }

  function attach (opened: MessageChannel, number: number): void {
    channel = opened
    encodeHeartbeat = createHeartbeatEncoder()
    const decodeAnswer = createAnswerDecoder()
    opened.onMessage((message) => {
      const received = message as ControlToEntry | CompactAnswer
      if (number === dialNumber) handle({ kind: 'received', message: received.kind === 'compact-answer' ? decodeAnswer(received) : received })
    })
    opened.onEnd(() => {
      countBytes(opened)
      if (number !== dialNumber || closed) return
      channel = null
      handle({ kind: 'disconnected' })
    })
    handle({ kind: 'connected' })
  }

  function hangUp (): void {
    dialNumber++
    const ended = channel
    channel = null
    ended?.close()
  }

  function carryOut (effects: AttachmentEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'dial') dial(effect.address)
      if (effect.kind === 'hang-up') hangUp()
      if (effect.kind === 'send') channel?.send(effect.message.kind === 'heartbeat' ? encodeHeartbeat(effect.message) : effect.message)
    }
  }

  function handle (message: AttachmentMessage): void {
    if (!closed) carryOut(attachment.handle(message))
  }

  return {
    handle,
    tick: () => {
      if (closed) return
      const arrived = channel?.arrivedBytes() ?? 0
      if (arrived > arrivedBefore) handle({ kind: 'hearing' })
      arrivedBefore = arrived
      carryOut(attachment.tick())
    },
    byteCount: () => {
      const open = channel?.byteCounts() ?? { sent: 0, received: 0 }
      return formerBytes + open.sent + open.received
    },
    close: () => {
      closed = true
      hangUp()
    }
  }
}

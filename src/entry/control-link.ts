import { dialChannel } from '../adapters/ws/dial-channel.js'
import type { PingMode, Hello, MessageChannel } from '../adapters/ws/message-channel.js'
import type { TlsFiles } from '../adapters/ws/tls-files.js'
import type { AttachmentEffect, AttachmentMessage } from '../decisions/freshness/control-attachment.js'
import { createAnswerDecoder, createHeartbeatEncoder } from '../decisions/freshness/heartbeat-codec.js'
import type { CompactAnswer } from '../types/compact-message.js'
import type { ControlToEntry } from '../types/control-message.js'
import type { Controller } from '../types/controller.js'
import type { Address } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'

export interface ControlLinkOptions {
  attachment: Controller<AttachmentMessage, AttachmentEffect>
  hello: Hello
  clusterSecret: string
  tls: TlsFiles | null
  logEvent: LogEvent
  /** When the channel sends keep-alives. Default: `always`. `while-waiting` is enough where unanswered heartbeats already show a lost connection. */
  pings?: PingMode
}

/** Connects the control attachment to a control instance. Carries out the effects of the attachment, and passes received messages and connection changes to it. */
export interface ControlLink {
  handle: (message: AttachmentMessage) => void
  tick: () => void
  /** @returns bytes of control messages sent and received so far */
  countBytes: () => number
  close: () => void
}

/** @returns a link without a connection; the attachment dials at the first tick */
export function createControlLink (options: ControlLinkOptions): ControlLink {
  const { attachment, hello, clusterSecret, tls, logEvent, pings = 'always' } = options
  let channel: MessageChannel | null = null
  let encodeHeartbeat = createHeartbeatEncoder()
  // Number of the latest dial. Results and messages of an abandoned dial have another number and are ignored.
  let currentDial = 0
  let closedChannelBytes = 0
  let arrivedBytesBefore = 0
  let isClosed = false

  function addClosedChannelBytes (ended: MessageChannel): void {
    const { sent, received } = ended.countMessageBytes()
    closedChannelBytes += sent + received
  }

  async function dial (address: Address): Promise<void> {
    const ownDial = ++currentDial
    const dialed = await dialChannel({ address, hello, clusterSecret, tls, logEvent, pings })
    if (ownDial !== currentDial || isClosed) {
      if (dialed.isOk()) dialed.value.close()
      return
    }
    if (dialed.isErr()) {
      handle({ kind: 'disconnected' })
      return
    }
    useChannel(dialed.value, ownDial)
  }

  function useChannel (opened: MessageChannel, ownDial: number): void {
    channel = opened
    encodeHeartbeat = createHeartbeatEncoder()
    const decodeAnswer = createAnswerDecoder()
    opened.onMessage((message) => {
      const received = message as ControlToEntry | CompactAnswer
      if (ownDial === currentDial) handle({ kind: 'received', message: received.kind === 'compact-answer' ? decodeAnswer(received) : received })
    })
    opened.onEnd(() => {
      addClosedChannelBytes(opened)
      if (ownDial !== currentDial || isClosed) return
      channel = null
      handle({ kind: 'disconnected' })
    })
    handle({ kind: 'connected' })
  }

  function closeChannel (): void {
    currentDial++
    const ended = channel
    channel = null
    ended?.close()
  }

  function carryOut (effects: AttachmentEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'dial') dial(effect.address)
      if (effect.kind === 'close-connection') closeChannel()
      if (effect.kind === 'send') channel?.send(effect.message.kind === 'heartbeat' ? encodeHeartbeat(effect.message) : effect.message)
    }
  }

  function handle (message: AttachmentMessage): void {
    if (!isClosed) carryOut(attachment.handle(message))
  }

  return {
    handle,
    tick: () => {
      if (isClosed) return
      const arrivedBytes = channel?.countSocketBytes() ?? 0
      // A long message that is still arriving shows that the control instance is sending, so the wait for its answer is extended.
      if (arrivedBytes > arrivedBytesBefore) handle({ kind: 'bytes-received' })
      arrivedBytesBefore = arrivedBytes
      carryOut(attachment.tick())
    },
    countBytes: () => {
      const open = channel?.countMessageBytes() ?? { sent: 0, received: 0 }
      return closedChannelBytes + open.sent + open.received
    },
    close: () => {
      isClosed = true
      closeChannel()
    }
  }
}

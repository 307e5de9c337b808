import type { MessageChannel } from '../adapters/ws/message-channel.js'
import type { ConnectionLending } from '../decisions/caller-sessions/connection-lending.js'
import type { Clock } from '../types/clock.js'
import { milliseconds } from '../types/clock.js'
import type { LogEvent } from '../types/log-event.js'
import type { TokenRequest, PeerCallAnswer, PeerCallBody, PeerCallMessage, TokenAnswer } from '../types/session-peer-message.js'

export interface PeerCallHandlerOptions {
  /** Clock that the borrowers' `sendBy` refers to. */
  clock: Clock
  lending: ConnectionLending
  /** Takes a token from the share of this instance. */
  takeToken: (call: TokenRequest) => Promise<TokenAnswer>
  logEvent: LogEvent
}

/** @returns a function that accepts a channel from another instance and answers its calls: statements on borrowed connections, and requests for rate tokens */
export function createPeerCallHandler ({ clock, lending, takeToken, logEvent }: PeerCallHandlerOptions): (channel: MessageChannel) => void {
  let channelCount = 0

  async function runCall (borrower: string, body: PeerCallBody): Promise<PeerCallAnswer['body']> {
    return body.kind === 'ask-token' ? await takeToken(body) : await lending.run(borrower, body)
  }

  return (channel) => {
    if (channel.hello.purpose !== 'peer') return channel.close()
    const borrower = `${channel.hello.name}#${++channelCount}`

    /** Ends the channel, so that the borrower learns at once that its call was not carried out as it was meant. */
    function rejectMessage (error: unknown): void {
      logEvent('messageRejected', { peer: channel.hello.name, purpose: channel.hello.purpose, message: String(error) })
      channel.reset()
    }

    async function answerCall ({ call, body }: Extract<PeerCallMessage, { kind: 'call' }>): Promise<void> {
      const answerBody = await runCall(borrower, body)
      channel.send({ kind: 'call-answer', call, now: milliseconds(Math.floor(clock.now())), body: answerBody } satisfies PeerCallAnswer)
      // The channel sends keep-alives while the borrower has loans, so that a borrower that is cut off keeps no transaction open.
      channel.setWaiting(lending.countLoansOf(borrower) > 0)
    }

    function handleMessage (message: PeerCallMessage): void {
      if (message.kind === 'end-loan') {
        lending.end(borrower, message)
        channel.setWaiting(lending.countLoansOf(borrower) > 0)
        return
      }
      answerCall(message).catch((error: unknown) => {
        logEvent('peerCallFailed', { peer: channel.hello.name, message: String(error) })
        channel.reset()
      })
    }

    // A borrower whose channel was reset no longer waits. The reset is read right after the last message, hence before the next immediate callback.
    channel.onMessage((message) => {
      setImmediate(() => {
        if (!channel.isOpen()) return
        try {
          handleMessage(message as PeerCallMessage)
        } catch (error) {
          rejectMessage(error)
        }
      })
    })
    channel.onEnd(() => { lending.endAllLoans(borrower) })
  }
}

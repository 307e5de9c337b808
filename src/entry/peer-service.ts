import type { MessageChannel } from '../adapters/ws/message-channel.js'
import type { ConnectionLending } from '../decisions/caller-sessions/connection-lending.js'
import type { LogEvent } from '../types/log-event.js'
import type { AskToken, PeerCallAnswer, PeerCallBody, PeerCallMessage, TokenAnswer } from '../types/session-peer-message.js'

export interface PeerServiceOptions {
  lending: ConnectionLending
  takeToken: (call: AskToken) => Promise<TokenAnswer>
  logEvent: LogEvent
}

/** @returns a function that answers the calls that come over a channel of another instance */
export function createPeerService ({ lending, takeToken, logEvent }: PeerServiceOptions): (channel: MessageChannel) => void {
  let channelCount = 0

  async function answerOf (borrower: string, body: PeerCallBody): Promise<PeerCallAnswer['body']> {
    return body.kind === 'ask-token' ? await takeToken(body) : await lending.run(borrower, body)
  }

  return (channel) => {
    if (channel.hello.purpose !== 'peer') return channel.close()
    const borrower = `${channel.hello.name}#${++channelCount}`

    async function answer ({ call, body }: Extract<PeerCallMessage, { kind: 'call' }>): Promise<void> {
      const answered = await answerOf(borrower, body)
      channel.send({ kind: 'call-answer', call, body: answered } satisfies PeerCallAnswer)
      // A borrower that is cut off must not keep a transaction open.
      channel.setWaiting(lending.countLoansOf(borrower) > 0)
    }

    channel.onMessage((received) => {
      const message = received as PeerCallMessage
      if (message.kind === 'end-loan') {
        lending.end(borrower, message)
        channel.setWaiting(lending.countLoansOf(borrower) > 0)
        return
      }
      answer(message).catch((error: unknown) => { logEvent('peerCallFailed', { peer: channel.hello.name, message: String(error) }) })
    })
    channel.onEnd(() => { lending.endAllLoans(borrower) })
  }
}

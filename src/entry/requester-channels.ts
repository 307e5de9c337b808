import type { MessageChannel } from '../adapters/ws/message-channel.js'
import type { Answer, PeerMessage } from '../types/peer-message.js'
import type { RequesterName } from '../types/executor-message.js'
import type { GroupExecutors } from './group-executors.js'

/** Channels over which other instances send requests to the executors of this instance. */
export interface RequesterChannels {
  /** Accepts a channel from another instance. A channel with a purpose other than `peer` is closed. */
  accept: (channel: MessageChannel) => void
  /** Sends an answer to a requester. The answer is dropped when the channel of the requester has ended. */
  answer: (to: RequesterName, answer: Answer) => void
}

/** @param executors - returns the executors that run the requests */
export function createRequesterChannels (executors: () => GroupExecutors): RequesterChannels {
  const channels = new Map<RequesterName, MessageChannel>()
  let channelCount = 0

  function accept (channel: MessageChannel): void {
    if (channel.hello.purpose !== 'peer') {
      channel.close()
      return
    }
    const name = `${channel.hello.name}#${++channelCount}`
    channels.set(name, channel)
    channel.onMessage((message) => {
      const request = message as PeerMessage
      if (request.kind === 'execute') executors().execute(name, request)
      if (request.kind === 'cancel') executors().cancel(name, request)
    })
    channel.onEnd(() => {
      channels.delete(name)
      executors().handleRequesterLoss(name)
    })
  }

  return {
    accept,
    answer: (to, answer) => { channels.get(to)?.send(answer) }
  }
}

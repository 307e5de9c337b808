import type { MessageChannel } from '../adapters/ws/message-channel.js'
import type { Answer, PeerMessage } from '../types/peer-message.js'
import type { RequesterName } from '../types/executor-message.js'
import type { GroupExecutors } from './group-executors.js'

/** Channels over which other instances send requests to this one. */
export interface PeerRequesters {
  accept: (channel: MessageChannel) => void
  /** Sends an answer; it is dropped when the requester is gone. */
  answer: (to: RequesterName, answer: Answer) => void
}

/** @param executors - takes the requests */
export function createPeerRequesters (executors: () => GroupExecutors): PeerRequesters {
  const channels = new Map<RequesterName, MessageChannel>()
  let count = 0

  function accept (channel: MessageChannel): void {
    if (channel.hello.purpose !== 'peer') {
      channel.close()
      return
    }
    const name = `${channel.hello.name}#${++count}`
    channels.set(name, channel)
    channel.onMessage((message) => {
      const request = message as PeerMessage
      if (request.kind === 'execute') executors().execute(name, request)
      if (request.kind === 'cancel') executors().cancel(name, request)
    })
    channel.onEnd(() => {
      channels.delete(name)
      executors().loseRequester(name)
    })
  }

  return {
    accept,
    answer: (to, answer) => { channels.get(to)?.send(answer) }
  }
}

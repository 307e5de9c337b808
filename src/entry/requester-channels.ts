import type { MessageChannel } from '../adapters/ws/message-channel.js'
import type { Clock } from '../types/clock.js'
import { milliseconds } from '../types/clock.js'
import type { Answer, Execute, PeerMessage } from '../types/peer-message.js'
import { buildRefusal } from '../types/result-code.js'
import type { RequesterName } from '../types/executor-message.js'
import type { GroupExecutors } from './group-executors.js'

/** Channels over which other instances send requests to the executors of this instance. */
export interface RequesterChannels {
  /** Accepts a channel from another instance. A channel with a purpose other than `peer` is closed. */
  accept: (channel: MessageChannel) => void
  /** Sends an answer to a requester. The answer is dropped when the channel of the requester has ended. */
  answer: (to: RequesterName, answer: Answer) => void
}

/**
 * @param executors - returns the executors that run the requests
 * @param clock - clock that the requesters' `startBy` refers to
 */
export function createRequesterChannels (executors: () => GroupExecutors, clock: Clock): RequesterChannels {
  const channels = new Map<RequesterName, MessageChannel>()
  let channelCount = 0

  function answer (to: RequesterName, message: Answer): void {
    channels.get(to)?.send({ ...message, now: milliseconds(Math.floor(clock.now())) } satisfies Answer)
  }

  function execute (from: RequesterName, request: Execute): void {
    const isLate = request.startBy !== undefined && clock.now() >= request.startBy
    if (!isLate) return executors().execute(from, request)
    const outcome = buildRefusal('noHolder', 'not-run', 'the request reached the connection holder after the time at which its sender may have stopped waiting', 0)
    answer(from, { version: 1, kind: 'answer', requestId: request.requestId, outcome })
  }

  function accept (channel: MessageChannel): void {
    if (channel.hello.purpose !== 'peer') {
      channel.close()
      return
    }
    const name = `${channel.hello.name}#${++channelCount}`
    channels.set(name, channel)
    channel.onMessage((message) => {
      const request = message as PeerMessage
      if (request.kind === 'execute') execute(name, request)
      if (request.kind === 'cancel') executors().cancel(name, request)
    })
    channel.onEnd(() => {
      channels.delete(name)
      executors().handleRequesterLoss(name)
    })
  }

  return {
    accept,
    answer
  }
}

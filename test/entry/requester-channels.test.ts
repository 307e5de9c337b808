import t from 'tap'
import type { MessageChannel } from '../../src/adapters/ws/message-channel.js'
import type { GroupExecutors } from '../../src/entry/group-executors.js'
import { createRequesterChannels } from '../../src/entry/requester-channels.js'
import { addTime, milliseconds } from '../../src/types/clock.js'
import { groupId, keyId, requestId, workspaceId } from '../../src/types/ids.js'
import type { Answer, Execute } from '../../src/types/peer-message.js'
import { createFakeClock } from '../support/fake-clock.js'

t.test('a connection holder that stood still does not execute a request whose sender may have stopped waiting', async (t) => {
  const clock = createFakeClock()
  const executed: string[] = []
  const sent: Answer[] = []
  const requesters = createRequesterChannels(() => ({
    execute: (_from, request) => { executed.push(request.requestId) }
  }) as Partial<GroupExecutors> as GroupExecutors, clock)
  let deliver = (_message: unknown): void => {}
  requesters.accept({
    hello: { purpose: 'peer', name: 'requester', address: '127.0.0.1:1' },
    send: (message) => { sent.push(message as Answer) },
    onMessage: (listener) => { deliver = listener },
    onEnd: () => {}
  } as Partial<MessageChannel> as MessageChannel)
  const startBy = addTime(clock.now(), 1000)
  const request: Execute = { version: 1, kind: 'execute', requestId: requestId('in-time'), workspace: workspaceId('w'), keyId: keyId('k'), group: groupId('g'), operation: { kind: 'begin' }, required: null, primaryOnly: false, oldestAgeMs: null, remainingMs: 5000, startBy, idempotencyKey: null, nonIdempotent: false }
  clock.advance(999)
  deliver(request)
  clock.advance(1)
  deliver({ ...request, requestId: requestId('late') })
  t.same(executed, ['in-time'])
  t.match(sent, [{ requestId: 'late', outcome: { kind: 'refusal', outcome: 'not-run' }, now: milliseconds(2000) }])
})

import { ok } from 'neverthrow'
import t from 'tap'
import { createOwnSession } from '../../../src/decisions/caller-sessions/pooled-session.js'
import type { StatementRequest } from '../../../src/decisions/caller-sessions/statement-runner.js'
import { createSessionValues } from '../../../src/decisions/caller-sessions/session-values.js'
import type { DatabaseRequest } from '../../../src/types/database-session.js'
import { databaseId, workspaceId } from '../../../src/types/ids.js'
import { createFakeClock } from '../../support/fake-clock.js'
import { read, reply } from './fixtures/session-harness.js'

t.test('values that change while a connection gets the former ones are applied before the next statement', async (t) => {
  const received: DatabaseRequest[] = []
  let release = (): void => {}
  let released = new Promise<void>((resolve) => { release = resolve })
  const pooled = createOwnSession({
    openedAt: null,
    close: () => {},
    onEnd: () => {},
    run: async (request) => {
      received.push(request)
      await released
      return ok(reply())
    }
  }, databaseId('d'), workspaceId('w'), createFakeClock())
  const values = createSessionValues()
  const nameCount = 10
  const setAll = (value: string): void => { for (let name = 0; name < nameCount; name++) values.set(`n${name}`, value) }
  const request: StatementRequest = { id: 'q', statement: read, after: null, values, limitMs: 1000, isLast: true }
  setAll('former')
  const first = pooled.run(request)
  // The 257th change shortens the history to the length that the connection is getting.
  for (let round = 0; round < 24; round++) setAll('between')
  for (let name = 0; name < 7; name++) values.set(`n${name}`, 'last')
  release()
  await first
  released = Promise.resolve()
  received.length = 0
  await pooled.run(request)
  t.equal(received[0]?.statement.kind, 'reset')
  t.equal(received.filter(({ statement }) => statement.kind === 'set').length, nameCount)
})

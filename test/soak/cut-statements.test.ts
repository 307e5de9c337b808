import t from 'tap'
import type { WireGroup } from '../../stand-ins/platform/wire-group.js'
import type { Answer } from '../../soak/caller.js'
import type { PlannedStops } from '../../soak/cut-statements.js'
import { listCutStatements } from '../../soak/cut-statements.js'
import type { SentStatement } from '../../soak/workload.js'

// Guards against a soak that passes over a statement that a planned stop has cut, and against one that reports a statement that may be cut.

const SIGTERM_AT = 100_000
const HOST = '127.1.2.1'

/** Times of one statement in milliseconds after SIGTERM, and what differs from a cut that breaks the promise. */
interface CutCase {
  sent: number
  ended: number
  received?: number
  finished?: number
  end?: 'whole' | 'cut' | 'left'
  host?: string
  disturbance?: [number, number]
  /** Time in which the soak itself handled no events. */
  stalled?: number
}

function judge ({ sent, ended, received, finished, end = 'cut', host = HOST, disturbance, stalled = 0 }: CutCase): (string | null)[] {
  const answer: Answer = { outcome: 'unknown', rows: [], code: null, end, partialBytes: 0, connectionError: null }
  const statement: SentStatement = { text: 'COMMIT', workspace: 'w', beginsOperation: false, values: '', answeredAt: null, database: 'd', host, timeoutMs: 3000, sentAt: SIGTERM_AT + sent, endedAt: SIGTERM_AT + ended, waitedMs: ended - sent - stalled, answer }
  const receipts = new Map(received === undefined ? [] : [['q1', { receivedAt: SIGTERM_AT + received, finishedAt: finished === undefined ? null : SIGTERM_AT + finished }]])
  const planned: PlannedStops = {
    stops: [{ host: HOST, signalledAt: SIGTERM_AT, exitedAt: null, endedBy: null }],
    disturbances: disturbance === undefined ? [] : [{ from: SIGTERM_AT + disturbance[0], until: SIGTERM_AT + disturbance[1] }],
    stopLimitMs: 6000,
    unreadSlackMs: 200
  }
  const history = { writes: [], sent: new Map([['q1', statement]]), violations: [], served: 0, notServed: 0, stalledMs: () => stalled }
  return listCutStatements(history, [{ receipts } as unknown as WireGroup], planned).map(({ excuse }) => excuse)
}

t.test('a statement that a planned stop cut breaks the promise', async (t) => {
  t.same(judge({ sent: 5050, ended: 5110, received: 5051 }), [null], 'it was running at a database')
  t.same(judge({ sent: -20, ended: 30, received: -10, finished: 5 }), [null], 'it was sent before SIGTERM and had run')
  t.same(judge({ sent: 2100, ended: 2301 }), [null], 'it was left unread for more than 200 ms')
  t.same(judge({ sent: 6900, ended: 7000, received: 6901 }), [null], 'the kill ended its connection')
  t.same(judge({ sent: 3001, ended: 5110, received: 3002 }), [null], 'a slow database ran it, and it was sent after half of the stop limit')
  t.same(judge({ sent: 2900, ended: 5110, received: 2901, finished: 4990 }), [null], 'a database ran it and had finished before the last sixth')
  t.same(judge({ sent: 2900, ended: 4000, received: 2901 }), [null], 'a slow database ran it, and it was cut before the last sixth')
  t.same(judge({ sent: 4500, ended: 5110, received: 4501, disturbance: [-2000, 499] }), [null], 'a disturbance ended more than 4 s before it')
})

t.test('a statement that may be cut is no break', async (t) => {
  t.same(judge({ sent: 5050, ended: 5110, received: 5051, end: 'whole' }), [], 'it was answered')
  t.same(judge({ sent: 5050, ended: 5110, received: 5051, end: 'left' }), [], 'its caller left')
  t.same(judge({ sent: 2100, ended: 2299 }), ['not read'])
  t.same(judge({ sent: 2100, ended: 2301, stalled: 2 }), ['not read'], 'its end was observed late')
  t.same(judge({ sent: 7000, ended: 7001, received: 7001 }), ['no planned stop'], 'it ended more than 1 s after the stop limit')
  t.same(judge({ sent: 5050, ended: 5110, received: 5051, host: '127.1.2.2' }), ['no planned stop'], 'another instance was stopped')
  t.same(judge({ sent: 2100, ended: 5110, received: 2101, finished: 2200 }), ['time limit of the route'])
  t.same(judge({ sent: 3000, ended: 5110, received: 3001 }), ['slow database'])
  t.same(judge({ sent: 2900, ended: 5110, received: 2901, finished: 2950, disturbance: [-1101, -1100] }), ['unplanned disturbance'])
  t.same(judge({ sent: 5050, ended: 5110, received: 5051, disturbance: [5110, 5200] }), ['unplanned disturbance'])
})

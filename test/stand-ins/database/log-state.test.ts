// Guards against the loss of acknowledged writes after failovers. This happens when a log entry counts as held by a majority although
// a later primary can be elected without it, or when a replica rewinds its log to the wrong entry. Random sequences of writes,
// replication, elections and orders to follow run on the log alone.
import fc from 'fast-check'
import t from 'tap'
import { compareLogPositions } from '../../../src/types/log-position.js'
import { findCommonOffset, createLogState, type LogEntry, type LogState } from '../../../stand-ins/database/log-state.js'
import { findSqlState } from './fixture/find-sql-state.js'

const SEED = 20_261_204
const RUNS = 1_000

type Step =
  | { kind: 'write', database: number }
  | { kind: 'replicate', from: number, to: number, count: number }
  | { kind: 'elect', order: number[], complete: boolean }
  | { kind: 'follow', database: number }

/** Logs of a group whose messages can be late, partial or lost, as the steps decide. */
class SimulatedGroup {
  readonly logs: LogState[]
  readonly acknowledged: LogEntry[] = []
  private term = 1
  private electedTerm = 1
  private writes = 0

  constructor (size: number) {
    this.logs = Array.from({ length: size }, createLogState)
    const first = this.log(0)
    first.fence(1)
    first.promote(1)
    this.logs.slice(1).forEach((log) => log.follow(1))
  }

  log (index: number): LogState {
    return this.logs[index % this.logs.length] as LogState
  }

  private get majority (): number { return Math.floor(this.logs.length / 2) + 1 }

  run (step: Step): void {
    if (step.kind === 'write') this.write(this.log(step.database))
    if (step.kind === 'replicate') this.replicate(this.log(step.from), this.log(step.to), step.count)
    if (step.kind === 'elect') this.elect(step.order, step.complete)
    if (step.kind === 'follow') this.follow(this.log(step.database))
    this.acknowledge()
  }

  private write (log: LogState): void {
    if (log.role() !== 'primary' || log.fencedTerm() > log.term()) return
    log.append(log.term(), [{ kind: 'set', workspace: 'w', key: 'k', value: String(++this.writes) }])
  }

  private replicate (from: LogState, to: LogState, count: number): void {
    if (from === to || from.role() !== 'primary') return
    const common = findCommonOffset(from.termEnds(), to.termEnds())
    if (to.align(from.term(), common)) to.receive(from.term(), from.entriesAfter(common, count))
  }

  private elect (order: number[], complete: boolean): void {
    this.term++
    const reached = [...new Set(order.map((index) => this.log(index)))].slice(0, complete ? this.majority : this.majority - 1)
    reached.forEach((log) => log.fence(this.term))
    if (!complete || reached.length < this.majority) return
    const furthest = reached.reduce((best, log) => compareLogPositions(log.position(), best.position()) > 0 ? log : best)
    furthest.promote(this.term)
    this.electedTerm = this.term
  }

  private follow (log: LogState): void {
    if (log.term() >= this.electedTerm || log.fencedTerm() > this.electedTerm) return
    log.follow(this.electedTerm)
  }

  /**
   * Acknowledges entries as a connection holder does: when a majority reports the term of the primary and a position at or past
   * that of the entry. A recorded answer that is sent again has the current position of the primary, whichever term wrote the entry.
   */
  private acknowledge (): void {
    for (const primary of this.logs) {
      if (primary.role() !== 'primary') continue
      const holding = this.logs.filter((log) => log.term() === primary.term()).map((log) => log.position())
      holding.sort(compareLogPositions).reverse()
      const held = holding[this.majority - 1]
      if (held === undefined) continue
      const isReplayHeld = held.offset === primary.position().offset
      if (held.term !== primary.term() && !isReplayHeld) continue
      this.acknowledged.push(...primary.entriesAfter(0, held.offset))
    }
  }

  newestPrimary (): LogState {
    return this.logs.find((log) => log.role() === 'primary' && log.term() === this.electedTerm) as LogState
  }
}

const databaseIndex = fc.nat({ max: 4 })
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('write' as const), database: databaseIndex }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('replicate' as const), from: databaseIndex, to: databaseIndex, count: fc.nat({ max: 3 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('elect' as const), order: fc.shuffledSubarray([0, 1, 2, 3, 4], { minLength: 5 }), complete: fc.boolean() }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('follow' as const), database: databaseIndex }) }
)
const sequenceArbitrary = fc.array(stepArbitrary, { minLength: 20, maxLength: 80 })

/** A majority holds an entry of term 1 only in term 3, while another database holds an entry of term 2. */
const oldEntryHeldLate: Step[] = [
  { kind: 'replicate', from: 0, to: 1, count: 1 },
  { kind: 'replicate', from: 0, to: 2, count: 1 },
  { kind: 'write', database: 0 },
  { kind: 'elect', order: [1, 2], complete: true },
  { kind: 'write', database: 1 },
  { kind: 'elect', order: [0, 2], complete: true },
  { kind: 'follow', database: 2 },
  { kind: 'replicate', from: 0, to: 2, count: 3 },
  { kind: 'elect', order: [1, 2], complete: true }
]

t.test('every later primary has the acknowledged entries in its log, so that no acknowledged write is lost', async (t) => {
  let acknowledged = 0
  fc.assert(fc.property(fc.constantFrom(3, 5), sequenceArbitrary, (size, sequence) => {
    const group = new SimulatedGroup(size)
    for (const next of sequence) {
      group.run(next)
      const primary = group.newestPrimary()
      for (const entry of group.acknowledged) {
        if (primary.entriesAfter(entry.offset - 1, 1)[0] !== entry) throw new Error(`entry ${entry.offset} of term ${entry.term} is lost`)
      }
    }
    acknowledged += group.acknowledged.length
  }), { seed: SEED, numRuns: RUNS, examples: [[3, oldEntryHeldLate]] })
  t.ok(acknowledged > RUNS, 'the runs acknowledged entries')
})

t.test('logs with an entry of the same term and offset are equal up to it, so that a replica rewinds to the right entry', async (t) => {
  let compared = 0
  fc.assert(fc.property(fc.constantFrom(3, 5), sequenceArbitrary, (size, sequence) => {
    const group = new SimulatedGroup(size)
    sequence.forEach((next) => group.run(next))
    for (const left of group.logs) {
      for (const right of group.logs) {
        const common = findCommonOffset(left.termEnds(), right.termEnds())
        const same = left.entriesAfter(0, common).every((entry, position) => entry === right.entriesAfter(position, 1)[0])
        if (!same) throw new Error('logs differ before their common offset')
        compared += common
      }
    }
  }), { seed: SEED, numRuns: RUNS })
  t.ok(compared > RUNS, 'the runs compared entries')
})

const refusals: { name: string, prepare: (log: LogState) => void, order: (log: LogState) => void, sqlState: string }[] = [
  { name: 'promotion without a fence', prepare: () => {}, order: (log) => log.promote(2), sqlState: 'CR003' },
  { name: 'promotion for a lower term than the fence', prepare: (log) => log.fence(3), order: (log) => log.promote(2), sqlState: 'CR003' },
  { name: 'a fence below the last one', prepare: (log) => log.fence(3), order: (log) => log.fence(2), sqlState: 'CR003' },
  { name: 'following a term below the fence', prepare: (log) => log.fence(3), order: (log) => log.follow(2), sqlState: 'CR003' },
  { name: 'following an older primary than the last one', prepare: (log) => log.follow(3), order: (log) => log.follow(2), sqlState: 'CR003' },
  { name: 'a write on a replica', prepare: () => {}, order: (log) => { log.append(0, []) }, sqlState: '25006' },
  {
    name: 'a write of an earlier term on a primary',
    prepare: (log) => {
      log.fence(2)
      log.promote(2)
    },
    order: (log) => { log.append(1, []) },
    sqlState: 'CR001'
  },
  {
    name: 'a write on a fenced primary',
    prepare: (log) => {
      log.fence(2)
      log.promote(2)
      log.fence(3)
    },
    order: (log) => { log.append(2, []) },
    sqlState: 'CR001'
  }
]

for (const { name, prepare, order, sqlState } of refusals) {
  t.test(`refused without a change of the log, so that a former primary changes nothing: ${name}`, async (t) => {
    const log = createLogState()
    prepare(log)
    const before = [log.role(), log.term(), log.fencedTerm(), log.position()]
    t.equal(findSqlState(() => order(log)), sqlState)
    t.same([log.role(), log.term(), log.fencedTerm(), log.position()], before)
  })
}

t.test('a fenced replica accepts no entries of a lower term, since late replication would void the fence', async (t) => {
  const log = createLogState()
  log.follow(1)
  log.align(1, 0)
  log.fence(2)
  t.equal(log.receive(1, [{ term: 1, offset: 1, changes: [] }]), false)
  t.equal(log.position().offset, 0)
})

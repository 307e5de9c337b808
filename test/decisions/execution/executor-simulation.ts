import { requestId, type ConnectionId, type DatabaseId, type TransactionId } from '../../../src/types/ids.js'
import type { ExecutorEffect } from '../../../src/types/executor-message.js'
import { createFairRequestQueue } from '../../../src/decisions/execution/create-fair-request-queue.js'
import { milliseconds } from '../../../src/types/clock.js'
import type { LogPosition } from '../../../src/types/log-position.js'
import type { Outcome } from '../../../src/types/outcome.js'
import type { Execute, Operation } from '../../../src/types/peer-message.js'
import { createExecutorHarness, KEY, manifestWith, PRIMARY, REPLICA, SECOND_REPLICA } from './executor-harness.js'
import { createFakeConnections, type FakeConnection, type LossPhase } from './fake-connections.js'
import type { Step } from './executor-step.js'
import { createFakeGroup, holdsStatement, statusOf, toIncarnation } from './fake-group.js'

interface SentRequest {
  request: Execute
  outcomes: Outcome[]
}

interface KnownTransaction {
  id: TransactionId
  connection: ConnectionId
}

export interface Tally {
  reads: number
  writes: number
  commits: number
  notRun: number
  unknown: number
}

const DATABASE_IDS = [PRIMARY, REPLICA, SECOND_REPLICA]
const selectByIndex = <Value>(values: readonly Value[], which: number): Value | undefined => values[which % Math.max(1, values.length)]

/** Runs a schedule of faults against an executor and checks its guarantees at each effect. Throws at the first violation. */
export function createExecutorSimulation () {
  const group = createFakeGroup(DATABASE_IDS)
  const fake = createFakeConnections(group)
  let randomState = 1
  const random = (): number => {
    randomState = (randomState * 48271) % 2147483647
    return randomState / 2147483647
  }
  const harness = createExecutorHarness({ replicaWaitMs: 20, random, createQueue: createFairRequestQueue })
  const { connections } = fake
  const sent = new Map<string, SentRequest>()
  const sessions = new Map<number, { position: LogPosition, statement: string }>()
  const transactions: KnownTransaction[] = []
  const acknowledgedWrites: string[] = []
  const requirements = new Map<string, { statement: string }>()
  const shares = new Map<DatabaseId, { slots: number, connections: number }>(DATABASE_IDS.map((id) => [id, { slots: 2, connections: 6 }]))
  // An instance acknowledges a reduced share only when its use fits into it. Until then the former share still counts.
  const acknowledged = new Map(shares)
  const tally: Tally = { reads: 0, writes: 0, commits: 0, notRun: 0, unknown: 0 }
  let delivering: ConnectionId | null = null
  let nextStatement = 1

  function check (condition: boolean, message: string): void {
    if (!condition) throw new Error(message)
  }

  const listLive = (): FakeConnection[] => [...connections.values()].filter((connection) => !connection.ended)
  const countInFlight = (database: DatabaseId): number => listLive().filter((connection) => connection.database === database && connection.pending !== null).length

  function checkRun (connection: FakeConnection, effect: Extract<ExecutorEffect, { kind: 'run' }>): void {
    const { operation } = effect
    check(!connection.ended && connection.run > 0, 'an operation was sent to a connection that is not open')
    check(connection.pending === null, 'an operation was sent to a connection with one in flight')
    const isInTransaction = operation.kind === 'statement' || operation.kind === 'commit' || operation.kind === 'rollback'
    const limits = isInTransaction ? acknowledged : shares
    check(countInFlight(connection.database) < (limits.get(connection.database)?.slots ?? 0), 'more operations are in flight than the slot share allows')
    check(isInTransaction === (connection.open !== null), 'a connection was shared while a transaction was open on it')
    if (operation.kind === 'statement') {
      const owner = transactions.find((known) => operation.statement.startsWith(`${known.id} `))
      check(owner?.connection === connection.id, 'a statement ran on the connection of another transaction')
    }
    if (operation.kind === 'read') {
      const requirement = requirements.get(operation.statement)
      const database = group.find(connection.database)
      const isOfEarlierIncarnation = connection.run !== database.run
      check(isOfEarlierIncarnation || requirement === undefined || holdsStatement(database, requirement.statement), 'a read was sent to a database behind its session')
    }
  }

  function checkAnswer (id: string, outcome: Outcome): void {
    const entry = sent.get(id)
    if (entry === undefined) throw new Error(`answer to unknown request ${id}`)
    entry.outcomes.push(outcome)
    check(entry.outcomes.length === 1, `request ${id} was answered twice`)
    const { operation } = entry.request
    if (outcome.kind === 'refusal') {
      tally[outcome.outcome === 'not-run' ? 'notRun' : 'unknown']++
      return
    }
    if (operation.kind === 'begin' && outcome.transaction !== null && delivering !== null) transactions.push({ id: outcome.transaction, connection: delivering })
    if (operation.kind === 'statement' && operation.access === 'read') tally.reads++
    if (outcome.position === null) return
    tally[operation.kind === 'commit' ? 'commits' : 'writes']++
    const statement = operation.kind === 'statement' ? operation.statement : lastStatementOf(operation)
    if (statement === null) return
    const holders = group.databases.filter((database) => holdsStatement(database, statement))
    check(holders.length >= 2, `${statement} was acknowledged although no majority holds it`)
    check(outcome.position.term === harness.group().term, `${statement} was acknowledged under an ended term`)
    acknowledgedWrites.push(statement)
    sessions.set(Number(statement.split(' ').at(-1)) % 3, { position: outcome.position, statement })
  }

  function lastStatementOf (operation: Operation): string | null {
    if (operation.kind !== 'commit') return null
    const entries = [...sent.values()].filter(({ request, outcomes }) => request.operation.kind === 'transaction-statement' && request.operation.transaction === operation.transaction && outcomes[0]?.kind === 'success')
    const last = entries.at(-1)?.request.operation
    return last?.kind === 'transaction-statement' ? last.statement : null
  }

  function onEffect (effect: ExecutorEffect): void {
    if (effect.kind === 'answer') {
      checkAnswer(effect.answer.requestId, effect.answer.outcome)
      return
    }
    if (effect.kind === 'open-connection') {
      connections.set(effect.connection, { id: effect.connection, database: effect.database, mode: effect.mode, run: 0, open: null, pending: null, ended: false })
      const held = listLive().filter((connection) => connection.database === effect.database).length
      check(held <= (shares.get(effect.database)?.connections ?? 0), 'more connections are open than the share allows')
      return
    }
    const connection = connections.get(effect.connection)
    if (connection === undefined) throw new Error(`unknown connection ${effect.connection}`)
    if (effect.kind === 'close-connection') {
      connection.ended = true
      return
    }
    checkRun(connection, effect)
    connection.pending = { operation: effect.operation, result: null }
  }

  function execute (operation: Operation, from: number, change: Partial<Execute>): void {
    const request = harness.request(operation, change)
    sent.set(request.requestId, { request, outcomes: [] })
    harness.send({ kind: 'execute', from: `peer-${from}`, request })
  }

  function openConnection (connection: FakeConnection | undefined): void {
    if (connection === undefined) return
    const database = group.find(connection.database)
    connection.run = database.run
    harness.send({ kind: 'connection-opened', connection: connection.id, incarnation: toIncarnation(database) })
  }

  const listOpening = (): FakeConnection[] => listLive().filter((connection) => connection.run === 0)
  const listBusy = (): FakeConnection[] => listLive().filter((connection) => connection.pending !== null)

  function deliver (connection: FakeConnection | undefined): void {
    if (connection === undefined) return
    const result = fake.popResult(connection)
    delivering = connection.id
    if (result?.kind === 'failed' && !result.connectionUsable) connection.ended = true
    if (result !== null) harness.send({ kind: 'operation-result', connection: connection.id, result })
    delivering = null
  }

  function lose (connection: FakeConnection | undefined, phase: LossPhase): void {
    const result = connection === undefined ? null : fake.lose(connection, phase)
    if (connection !== undefined && result !== null) harness.send({ kind: 'operation-result', connection: connection.id, result })
  }

  function endConnection (connection: FakeConnection | undefined): void {
    if (connection === undefined) return
    connection.ended = true
    harness.send({ kind: 'connection-closed', connection: connection.id })
  }

  function observe (database: DatabaseId): void {
    harness.observe(database, statusOf(group.find(database)))
    harness.tick()
  }

  function acknowledgeShares (): void {
    for (const [database, share] of shares) {
      const slots = acknowledged.get(database)?.slots ?? 0
      if (share.slots >= slots || harness.executor.countUsedSlots(database) <= share.slots) acknowledged.set(database, share)
    }
  }

  function setShare (database: DatabaseId, share: { slots: number, connections: number }): void {
    shares.set(database, share)
    acknowledgeShares()
    harness.setShare(share, undefined, database)
    harness.tick()
  }

  function publish (phase: 'serving' | 'electing' | 'switching'): void {
    const primary = group.findNewestPrimary()
    harness.setGroup(phase === 'electing' ? { phase, term: primary.term + 1, primary: null } : { phase, term: primary.term, primary: primary.id })
    harness.tick()
  }

  function setKey (valid: boolean): void {
    harness.manifest.write({ version: nextStatement, manifest: manifestWith(valid ? [KEY] : []) })
    harness.tick()
  }

  function setLease (valid: boolean): void {
    harness.freshness.write({ confirmedAt: harness.clock.now(), validUntil: milliseconds(valid ? 1e9 : 0), leaderTerm: 1 })
    harness.tick()
  }

  function heal (): void {
    setKey(true)
    setLease(true)
    for (const id of DATABASE_IDS) {
      harness.setDatabase(id, { weight: 1 })
      setShare(id, { slots: 2, connections: 6 })
    }
  }

  /** Completes replication, new connections and operations without faults. `heals`: first restores key, lease, weights and shares. */
  function progress (heals: boolean): void {
    if (heals) heal()
    for (const database of group.databases) {
      group.follow(database)
      while (group.replicate(database)) continue
    }
    publish('serving')
    for (const id of DATABASE_IDS) observe(id)
    for (const connection of listOpening()) openConnection(connection)
    for (const connection of listBusy()) deliver(connection)
    // Only one database gets the latest entry, so that reads have a replica behind their session to avoid.
    group.replicate(group.find(DATABASE_IDS[nextStatement % DATABASE_IDS.length] ?? PRIMARY))
    for (const id of DATABASE_IDS) observe(id)
  }

  function request (step: Extract<Step, { kind: 'request' }>): void {
    const base = { remainingMs: step.remainingMs, nonIdempotent: true }
    if (step.access === 'begin') {
      execute({ kind: 'begin' }, step.from, base)
      return
    }
    const session = sessions.get(step.session)
    const statement = `${step.access} ${nextStatement++}`
    if (step.access === 'read' && session !== undefined) requirements.set(statement, session)
    execute({ kind: 'statement', statement, values: [], access: step.access }, step.from, { ...base, required: session?.position ?? null })
  }

  function transactionOperation (step: Extract<Step, { kind: 'transaction' }>): void {
    const known = selectByIndex(transactions.slice(-2), step.which)
    if (known === undefined) return
    const transaction = known.id
    if (step.what === 'statement') execute({ kind: 'transaction-statement', transaction, statement: `${transaction} ${nextStatement++}`, values: [] }, step.from, {})
    else execute({ kind: step.what, transaction }, step.from, {})
  }

  function repeatResult (which: number): void {
    const connection = selectByIndex([...connections.values()].filter((entry) => entry.pending === null && entry.run > 0), which)
    if (connection === undefined) return
    connection.ended = true
    harness.send({ kind: 'operation-result', connection: connection.id, result: { kind: 'done', rows: [], rowCount: 0, position: { term: 99, offset: 99 }, replayed: false } })
  }

  function run (step: Step): void {
    carryOut(step)
    acknowledgeShares()
  }

  function carryOut (step: Step): void {
    switch (step.kind) {
      case 'request': return request(step)
      case 'transaction': return transactionOperation(step)
      case 'open': return openConnection(selectByIndex(listOpening(), step.which))
      case 'open-fails': {
        const connection = selectByIndex(listOpening(), step.which)
        if (connection === undefined) return
        connection.ended = true
        harness.send({ kind: 'connection-failed', connection: connection.id, message: 'refused' })
        return
      }
      case 'apply': {
        const connection = selectByIndex([...connections.values()].filter((entry) => entry.pending !== null), step.which)
        if (connection !== undefined) fake.apply(connection)
        return
      }
      case 'deliver': return deliver(selectByIndex(listBusy(), step.which))
      case 'refuse': {
        const connection = selectByIndex(listBusy(), step.which)
        if (connection === undefined || connection.pending?.operation.kind === 'read') return
        fake.refuse(connection, step.which % 2 === 0 ? '25006' : '23505')
        return deliver(connection)
      }
      case 'connection-ends': return endConnection(selectByIndex(listLive().filter((entry) => entry.run > 0), step.which))
      case 'repeat-result': return repeatResult(step.which)
      case 'cancel': {
        const open = [...sent.values()].filter(({ outcomes }) => outcomes.length === 0)
        const entry = selectByIndex(open, step.which)
        const from = step.which % 2
        harness.send({ kind: 'cancel', from: `peer-${from}`, requestId: entry?.request.requestId ?? requestId('none') })
        return
      }
      case 'lose': return lose(selectByIndex(listBusy(), step.which), step.phase)
      case 'replicate': { group.replicate(group.find(DATABASE_IDS[step.database] ?? PRIMARY)); return }
      case 'observe': return observe(DATABASE_IDS[step.database] ?? PRIMARY)
      case 'restart': return group.restart(group.find(DATABASE_IDS[step.database] ?? PRIMARY))
      case 'fail-over': { group.failOver(DATABASE_IDS[step.database] ?? PRIMARY); return }
      case 'follow': return group.follow(group.find(DATABASE_IDS[step.database] ?? PRIMARY))
      case 'directory': return publish(step.phase)
      case 'progress': return progress(step.heals)
      case 'advance': return harness.advance(step.ms, false)
      case 'key': return setKey(step.valid)
      case 'lease': return setLease(step.valid)
      case 'requester-lost': { harness.send({ kind: 'requester-lost', from: `peer-${step.from}` }); return }
      case 'share': return setShare(DATABASE_IDS[step.database] ?? PRIMARY, step)
      case 'weight': { harness.setDatabase(DATABASE_IDS[step.database] ?? PRIMARY, { weight: step.weight }); harness.tick() }
    }
  }

  /** Lets all deadlines pass, carries out what was sent and not yet carried out, and checks the final state. */
  function finish (): Tally {
    harness.advance(6000, false)
    fake.applyLeftovers()
    harness.advance(100, false)
    for (const [id, { request: { operation }, outcomes }] of sent) {
      check(outcomes.length === 1, `request ${id} has ${outcomes.length} answers`)
      const statement = operation.kind === 'statement' || operation.kind === 'transaction-statement' ? operation.statement : null
      const count = statement === null ? 0 : group.applied.get(statement) ?? 0
      check(count <= 1, `${statement} was applied ${count} times`)
      const outcome = outcomes[0]
      check(count === 0 || outcome?.kind !== 'refusal' || outcome.outcome !== 'not-run', `${statement} was answered not-run and was applied`)
    }
    for (const statement of acknowledgedWrites) check(holdsStatement(group.findNewestPrimary(), statement), `${statement} was acknowledged and lost`)
    return tally
  }

  // The harness opened these connections before the fake databases received its effects.
  for (const effect of harness.effects) {
    if (effect.kind !== 'open-connection') continue
    connections.set(effect.connection, { id: effect.connection, database: effect.database, mode: effect.mode, run: 1, open: null, pending: null, ended: false })
  }
  harness.onEffect(onEffect)
  for (const id of DATABASE_IDS) observe(id)

  return { run, finish, harness }
}

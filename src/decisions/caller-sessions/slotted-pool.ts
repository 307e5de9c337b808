import { err, ok } from 'neverthrow'
import type { Clock } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { DatabaseReply } from '../../types/database-session.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'
import type { DatabaseHealth } from './database-health.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionPool } from './session-pool.js'
import type { Slot, SlotOutcome, SlotScheduler } from './slot-scheduler.js'
import type { StatementRequest } from './statement-runner.js'

/** A database that has answered nothing for this long counts as unreachable for what finds no slot, in milliseconds: several times its usual response time. */
const SILENT_DATABASE_MS = 300

export interface SlottedPoolOptions {
  clock: Clock
  /** Pool of the connections that this instance holds. */
  own: SessionPool
  scheduler: SlotScheduler
  health: DatabaseHealth
  /** @returns whether the number of slots of the database is known */
  hasSlots: (database: DirectoryDatabase) => boolean
}

/** A connection whose statements wait for slots. */
interface SlottedSession extends PooledSession {
  readonly inner: PooledSession
  /** Frees the slot that the session has, if any. */
  freeSlot: () => void
}

/**
 * Creates a pool whose statements wait for a slot of the database: those that begin an operation before they get a connection, so that
 * what waits occupies none, and those of open transactions before they are sent.
 */
export function createSlottedPool ({ clock, own, scheduler, health, hasSlots }: SlottedPoolOptions): SessionPool {
  const slottedSessions = new WeakMap<PooledSession, SlottedSession>()

  function createSlottedSession (inner: PooledSession, slotOfAcquisition: Slot): SlottedSession {
    let slot: Slot | null = slotOfAcquisition
    let isFirst = true

    async function run (request: StatementRequest): ReturnType<PooledSession['run']> {
      const sendBy = request.sendBy ?? addTime(clock.now(), request.limitMs)
      const requestedAt = clock.now()
      if (!isFirst) slot = await scheduler.acquireInTransaction(inner.database, inner.workspace)
      isFirst = false
      const slotMs = clock.now() - requestedAt
      const usedSlot = slot
      const sentAt = clock.now()
      const result = await inner.run({ ...request, sendBy })
      usedSlot?.free(result.isOk() ? classifyOutcome(result.value) : 'unjudged', clock.now() - sentAt)
      return result.map((reply) => ({ ...reply, holderTiming: { connectionMs: 0, slotMs, databaseMs: clock.now() - sentAt } }))
    }

    return {
      inner,
      database: inner.database,
      workspace: inner.workspace,
      slotWaitMs: slotOfAcquisition.waitMs,
      get isUnused () { return inner.isUnused },
      set isUnused (isUnused) { inner.isUnused = isUnused },
      get ended () { return inner.ended },
      set ended (ended) { inner.ended = ended },
      heldBy: inner.heldBy,
      freeSlot: () => { slot?.free('unjudged', null) },
      run,
      close: inner.close
    }
  }

  async function acquire (...[database, workspace, priority, limitMs]: Parameters<SessionPool['acquire']>): ReturnType<SessionPool['acquire']> {
    if (!hasSlots(database)) return await own.acquire(database, workspace, priority, limitMs)
    const until = addTime(clock.now(), limitMs)
    const acquiredSlot = await scheduler.acquire(database.database, { workspace, priority, limitMs, canRun: () => own.connectionAvailability(database, workspace) !== 'full' })
    // Silence is evidence for a failover. Without it, the borrowers whose statements find no slot of a silent database would report nothing.
    if (acquiredSlot.isErr()) return err(health.silentForMs(database.database) >= SILENT_DATABASE_MS ? 'unreachable' : 'overloaded')
    const slot = acquiredSlot.value
    const acquired = await own.acquire(database, workspace, priority, Math.max(1, until - clock.now()))
    if (acquired.isErr()) {
      slot.free('unjudged', null)
      return err(acquired.error)
    }
    const session = createSlottedSession(acquired.value, slot)
    slottedSessions.set(session, session)
    return ok(session)
  }

  /** Ends the use of a connection. @param end - releases or discards the connection itself */
  function endUse (pooled: PooledSession, end: (inner: PooledSession) => void): void {
    const session = slottedSessions.get(pooled)
    end(session?.inner ?? pooled)
    session?.freeSlot()
    scheduler.start(pooled.database)
  }

  return {
    ...own,
    acquire,
    expectedWaitMs: scheduler.expectedWaitMs,
    slotQueue: scheduler.state,
    release: (pooled) => { endUse(pooled, own.release) },
    discard: (pooled) => { endUse(pooled, own.discard) },
    tick: (listed) => {
      own.tick(listed)
      scheduler.keepOnly(new Set<DatabaseId>(listed.keys()))
      // The database may accept connections again that it refused before.
      for (const database of listed.keys()) scheduler.start(database)
    }
  }
}

function classifyOutcome ({ outcome }: DatabaseReply): SlotOutcome {
  if (outcome.kind === 'done') return 'answered'
  if (outcome.error === 'busy') return 'busy'
  return outcome.error === 'not-sent' ? 'unjudged' : 'answered'
}

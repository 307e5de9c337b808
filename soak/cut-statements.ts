import type { WireGroup } from '../stand-ins/platform/wire-group.js'
import type { PlannedStop } from './fleet.js'
import type { Disturbance } from './schedule.js'
import type { History, SentStatement } from './workload.js'

/** What the check of planned stops needs to know besides the statements. Times are in milliseconds. */
export interface PlannedStops {
  stops: readonly PlannedStop[]
  disturbances: readonly Disturbance[]
  /** Time between SIGTERM and the kill by the platform. */
  stopLimitMs: number
  /** Time after which a statement that reached no database counts as read by its instance. */
  unreadSlackMs: number
}

/** A statement whose connection the other end closed before a whole answer. */
export interface CutStatement {
  /** Its kind and its times, for reports. */
  description: string
  /** Why it may be cut; null if it breaks the promise that a planned stop answers what was taken. */
  excuse: string | null
}

/** Time after the kill within which the end of a connection still counts as part of the stop. */
const STOP_MARGIN_MS = 1000
/** Time after an unplanned disturbance in which its effects excuse the end of a connection. */
const DISTURBANCE_EFFECT_MS = 4000
/** Part of the stop limit at whose end a statement may still be running at a database and be cut. */
const LAST_PART = 1 / 6
/** Part of the stop limit within which such a statement must have been sent. */
const EARLY_PART = 1 / 2

/** @returns all statements that were cut, whether or not a planned stop broke its promise by it */
export function listCutStatements ({ sent }: History, groups: readonly WireGroup[], planned: PlannedStops): CutStatement[] {
  return [...sent].flatMap(([id, statement]) => {
    const { sentAt, endedAt, waitedMs, answer } = statement
    if (endedAt === null || answer?.end !== 'cut') return []
    const receipt = groups.flatMap(({ receipts }) => receipts.get(id) ?? [])[0]
    const stop = planned.stops.filter(({ host, signalledAt }) => host === statement.host && endedAt >= signalledAt && endedAt <= signalledAt + planned.stopLimitMs + STOP_MARGIN_MS).pop()
    const zero = stop?.signalledAt ?? sentAt
    const atDatabase = receipt === undefined ? 'no database received it' : `at a database from ${receipt.receivedAt - zero} ms to ${receipt.finishedAt === null ? 'the end' : `${receipt.finishedAt - zero} ms`}`
    const description = `${id} ${statement.text.slice(0, 60)} on ${statement.database} via ${statement.host}, sent ${sentAt - zero} ms and cut ${endedAt - zero} ms after ${stop === undefined ? 'it was sent' : 'SIGTERM'}, ${endedAt - sentAt - waitedMs} ms of it unobserved, ${atDatabase}, ${answer.partialBytes} bytes of an answer, connection error ${answer.connectionError ?? 'none'}`
    return [{ description, excuse: stop === undefined ? 'no planned stop' : findExcuse(statement, endedAt, stop, receipt, planned) }]
  })
}

function findExcuse ({ sentAt, timeoutMs, waitedMs }: SentStatement, endedAt: number, { signalledAt }: PlannedStop, receipt: { finishedAt: number | null } | undefined, planned: PlannedStops): string | null {
  const { stopLimitMs, unreadSlackMs } = planned
  if (planned.disturbances.some(({ from, until }) => from <= endedAt && until >= sentAt - DISTURBANCE_EFFECT_MS)) return 'unplanned disturbance'
  if (endedAt - sentAt >= timeoutMs) return 'time limit of the route'
  if (receipt === undefined) return waitedMs > unreadSlackMs ? null : 'not read'
  const lastPartFrom = signalledAt + stopLimitMs * (1 - LAST_PART)
  const isAtWorkLast = endedAt >= lastPartFrom && (receipt.finishedAt === null || receipt.finishedAt >= lastPartFrom)
  return isAtWorkLast && sentAt <= signalledAt + stopLimitMs * EARLY_PART ? 'slow database' : null
}

import type { WireGroup } from '../stand-ins/platform/wire-group.js'
import { listCutStatements } from './cut-statements.js'
import type { PlannedStops } from './cut-statements.js'
import type { History } from './workload.js'

/** What callers and databases observed during a run. */
export interface PromiseInputs {
  history: History
  groups: readonly WireGroup[]
  workspaces: readonly { name: string, key: string, rate: number, burst: number }[]
  /** @returns whether `workspace` may have held the key of `owner` at some time from `from` to `until` */
  mayHaveHeld: (workspace: string, owner: string, from: number, until: number) => boolean
  /** Whether a promotion may lose acknowledged commits. */
  canLoseCommits: boolean
  planned: PlannedStops
}

/** Time after its acknowledgement within which a configuration is in force at every instance that reaches control. */
const APPLY_MS = 3000
/** Longest time for which a fault keeps an instance from hearing of a configuration. */
const LONGEST_FAULT_MS = 3500

/** Time by which the databases may observe a statement later than it was sent: the delay of a slow proxy, and of this busy process. */
const OBSERVATION_DELAY_MS = 200
/** Time window in which the rate check counts operations. */
const RATE_WINDOW_MS = 5000
/** Excess above the rate that the settings of the instances tolerate: a ratio of the limit, plus a number of requests. */
export const rateExcess = { share: 0.1, requests: 20 }

/**
 * Checks the guarantees of the product, called promises here. Compares the answers that callers received with the statements that the databases
 * ran and the writes that they store.
 * @returns one line for each broken promise
 */
export function checkPromises ({ history, groups, workspaces, mayHaveHeld, canLoseCommits, planned }: PromiseInputs): string[] {
  const storedCounts = new Map<string, number>()
  for (const group of groups) {
    for (const { writes } of group.primary().log) for (const { id } of writes) storedCounts.set(id, (storedCounts.get(id) ?? 0) + 1)
  }
  return [
    ...history.violations,
    ...groups.flatMap(({ violations }) => violations),
    ...checkWrites(history, storedCounts, canLoseCommits),
    ...checkRanStatements(history, groups, mayHaveHeld),
    ...listCutStatements(history, groups, planned).filter(({ excuse }) => excuse === null).map(({ description }) => `LOST: ${description}`),
    ...checkKeys(groups, workspaces),
    ...workspaces.flatMap((workspace) => checkRate(history, groups, workspace))
  ]
}

function checkWrites ({ writes }: History, storedCounts: ReadonlyMap<string, number>, canLoseCommits: boolean): string[] {
  return writes.flatMap(({ id, item, count, outcome }) => {
    const storedCount = storedCounts.get(id) ?? 0
    const name = `${id} (${item} ${count})`
    if (storedCount > 1) return [`TWICE: ${name} is kept ${storedCount} times`]
    if (outcome === 'done' && storedCount === 0 && !canLoseCommits) return [`LOST: ${name} was acknowledged and is not kept`]
    if (outcome === 'not-kept' && storedCount > 0) return [`REFUSED: ${name} is kept although its error promised that it is not`]
    return []
  })
}

function checkRanStatements ({ sent }: History, groups: readonly WireGroup[], mayHaveHeld: PromiseInputs['mayHaveHeld']): string[] {
  return groups.flatMap(({ statements: runs }) => runs.flatMap(({ id, text, workspace: who, values, receivedAt }) => {
    const statement = sent.get(id)
    if (statement === undefined) return [`UNASKED: ${id} (${text}) was never sent`]
    if (statement.text !== text) return [`UNASKED: ${id} ran as ${text} and was sent as ${statement.text}`]
    if (!mayHaveHeld(who, statement.workspace, statement.sentAt - APPLY_MS - LONGEST_FAULT_MS, statement.endedAt ?? Infinity)) return [`UNASKED: ${id} with the key of ${statement.workspace} ran for ${who}`]
    if (statement.values !== values) return [`PINNED: ${id} ran with the values ${values}, its session had ${statement.values}`]
    const lateMs = statement.answeredAt === null ? 0 : receivedAt - statement.answeredAt
    return lateMs <= OBSERVATION_DELAY_MS ? [] : [`PINNED: ${id} (${text}) reached a database ${lateMs} ms after its caller was answered`]
  }))
}

function checkKeys (groups: readonly WireGroup[], workspaces: readonly { key: string }[]): string[] {
  const receivedTexts = groups.flatMap(({ startLines: starts, statements: runs }) => [...starts, ...runs.map(({ text }) => text)])
  return workspaces.flatMap(({ key }) => receivedTexts.some((line) => line.includes(key)) ? ['UNASKED: a database received the key of a workspace'] : [])
}

function checkRate ({ sent }: History, groups: readonly WireGroup[], { name, rate, burst }: { name: string, rate: number, burst: number }): string[] {
  const times = groups.flatMap(({ statements: runs }) => runs.filter(({ id, workspace }) => workspace === name && sent.get(id)?.beginsOperation === true).map(({ at }) => at)).sort((left, right) => left - right)
  const limit = (rate * RATE_WINDOW_MS / 1000 + burst) * (1 + rateExcess.share) + rateExcess.requests
  for (let first = 0, last = 0; last < times.length; last++) {
    while ((times[last] as number) - (times[first] as number) > RATE_WINDOW_MS) first++
    if (last - first + 1 > limit) return [`QUOTA: ${last - first + 1} operations of ${name} within ${RATE_WINDOW_MS} ms, allowed are ${Math.floor(limit)}`]
  }
  return []
}

import type { WireGroup } from '../stand-ins/platform/wire-group.js'
import type { History } from './workload.js'

export interface PromiseInputs {
  history: History
  groups: readonly WireGroup[]
  workspaces: readonly { name: string, key: string, rate: number, burst: number }[]
  /** Whether a promotion may lose acknowledged commits. */
  mayLose: boolean
}

/** Window of the rate check in milliseconds, and the excess that the settings tolerate. */
const RATE_WINDOW_MS = 5000
export const rateExcess = { share: 0.1, requests: 20 }

/** Compares what callers were told with what the databases ran and keep. @returns one line for each broken promise */
export function checkPromises ({ history, groups, workspaces, mayLose }: PromiseInputs): string[] {
  const kept = new Map<string, number>()
  for (const group of groups) {
    for (const { writes } of group.primary().log) for (const { id } of writes) kept.set(id, (kept.get(id) ?? 0) + 1)
  }
  return [
    ...history.violations,
    ...groups.flatMap(({ violations }) => violations),
    ...checkWrites(history, kept, mayLose),
    ...checkRuns(history, groups),
    ...checkKeys(groups, workspaces),
    ...workspaces.flatMap((workspace) => checkRate(history, groups, workspace))
  ]
}

function checkWrites ({ writes }: History, kept: ReadonlyMap<string, number>, mayLose: boolean): string[] {
  return writes.flatMap(({ id, item, count, told }) => {
    const times = kept.get(id) ?? 0
    const name = `${id} (${item} ${count})`
    if (times > 1) return [`TWICE: ${name} is kept ${times} times`]
    if (told === 'done' && times === 0 && !mayLose) return [`LOST: ${name} was acknowledged and is not kept`]
    if (told === 'not-kept' && times > 0) return [`REFUSED: ${name} is kept although the caller was told that it is not`]
    return []
  })
}

function checkRuns ({ sent }: History, groups: readonly WireGroup[]): string[] {
  return groups.flatMap(({ runs }) => runs.flatMap(({ id, text, who }) => {
    const statement = sent.get(id)
    if (statement === undefined) return [`UNASKED: ${id} (${text}) was never sent`]
    if (statement.text !== text) return [`UNASKED: ${id} ran as ${text} and was sent as ${statement.text}`]
    return statement.workspace === who ? [] : [`UNASKED: ${id} of ${statement.workspace} ran for ${who}`]
  }))
}

function checkKeys (groups: readonly WireGroup[], workspaces: readonly { key: string }[]): string[] {
  const told = groups.flatMap(({ starts, runs }) => [...starts, ...runs.map(({ text }) => text)])
  return workspaces.flatMap(({ key }) => told.some((line) => line.includes(key)) ? ['UNASKED: a database was told a key'] : [])
}

function checkRate ({ sent }: History, groups: readonly WireGroup[], { name, rate, burst }: { name: string, rate: number, burst: number }): string[] {
  const times = groups.flatMap(({ runs }) => runs.filter(({ id }) => sent.get(id)?.workspace === name && sent.get(id)?.beginsOperation === true).map(({ at }) => at)).sort((left, right) => left - right)
  const limit = (rate * RATE_WINDOW_MS / 1000 + burst) * (1 + rateExcess.share) + rateExcess.requests
  for (let first = 0, last = 0; last < times.length; last++) {
    while ((times[last] as number) - (times[first] as number) > RATE_WINDOW_MS) first++
    if (last - first + 1 > limit) return [`QUOTA: ${last - first + 1} operations of ${name} within ${RATE_WINDOW_MS} ms, allowed are ${Math.floor(limit)}`]
  }
  return []
}

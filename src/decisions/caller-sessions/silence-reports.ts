import type { DatabaseId } from '../../types/ids.js'
import type { DatabaseHealth } from './database-health.js'

/** Finds databases whose silence the control leader has not been told of. It starts the failover of a silent primary only after most instances have reported it. */
export interface SilenceReports {
  /** @returns the databases that became silent since the last call */
  findNew: () => DatabaseId[]
}

export function createSilenceReports ({ observations }: Pick<DatabaseHealth, 'observations'>): SilenceReports {
  let reported = new Set<DatabaseId>()
  return {
    findNew: () => {
      const silent = new Set(observations().filter(({ silentForMs }) => silentForMs > 0).map(({ database }) => database))
      const found = [...silent].filter((database) => !reported.has(database))
      reported = silent
      return found
    }
  }
}

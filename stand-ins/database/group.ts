import { databaseId, failureDomainId, groupId, type FailureDomainId } from '../../src/types/ids.js'
import { createDatabaseStandIn, type DatabaseStandIn } from './database-stand-in.js'
import type { DatabaseStandInOptions } from './options.js'

/** Options of a group; the others apply to each of its databases. */
export interface DatabaseGroupOptions extends Omit<DatabaseStandInOptions, 'database' | 'group' | 'failureDomain' | 'firstPrimary' | 'port'> {
  /** Name of the group; databases are named `<group>-<number from 1>`. */
  group: string
  /** Default 3. */
  size?: number
  /** Failure domain of each database, by turns; default one domain per database. */
  failureDomains?: FailureDomainId[]
}

/** Databases of one group in this process; the first one starts as primary of term 1. */
export interface DatabaseGroup {
  databases: DatabaseStandIn[]
  /** @returns the database with the highest term that is primary and not fenced for a higher one */
  primary: () => DatabaseStandIn | null
  stop: () => Promise<void>
}

const DEFAULT_SIZE = 3

/** Starts the databases of a group on free loopback ports; resolves when the replicas follow the primary. */
export async function startDatabaseGroup (options: DatabaseGroupOptions): Promise<DatabaseGroup> {
  const { group, size = DEFAULT_SIZE, failureDomains = [], ...shared } = options
  const databases: DatabaseStandIn[] = []

  function create (index: number): DatabaseStandIn {
    const number = index + 1
    return createDatabaseStandIn({
      ...shared,
      database: databaseId(`${group}-${number}`),
      group: groupId(group),
      failureDomain: failureDomains[index % failureDomains.length] ?? failureDomainId(`domain-${number}`),
      firstPrimary: databases[0]?.address() ?? 'self'
    })
  }

  for (let index = 0; index < size; index++) {
    const database = create(index)
    await database.start()
    databases.push(database)
  }

  function primary (): DatabaseStandIn | null {
    const serving = databases.filter((database) => {
      const { role, term, fencedTerm } = database.status()
      return role === 'primary' && fencedTerm <= term
    })
    serving.sort((left, right) => right.status().term - left.status().term)
    return serving[0] ?? null
  }

  return {
    databases,
    primary,
    stop: async () => { await Promise.all(databases.map(async (database) => await database.stop())) }
  }
}

import { databaseId, failureDomainId, groupId, type FailureDomainId } from '../../src/types/ids.js'
import { createDatabaseStandIn, type DatabaseStandIn } from './database-stand-in.js'
import type { DatabaseStandInOptions } from './options.js'

/** Options of a group. Those that are not listed here apply to each of its databases. */
export interface DatabaseGroupOptions extends Omit<DatabaseStandInOptions, 'database' | 'group' | 'failureDomain' | 'firstPrimary' | 'port'> {
  /** Name of the group. Its databases are named `<group>-<number>`, from 1 on. */
  group: string
  /** Number of databases; default 3. */
  size?: number
  /** Failure domains, assigned to the databases in turn; default one for each database. */
  failureDomains?: FailureDomainId[]
}

/** Databases of one group in this process. The first one starts as primary of term 1. */
export interface DatabaseGroup {
  databases: DatabaseStandIn[]
  /** @returns the primary of the highest term among those that no higher term fences, or null when there is none */
  primary: () => DatabaseStandIn | null
  stop: () => Promise<void>
}

const DEFAULT_SIZE = 3

/** Starts the databases of a group on free loopback ports. Resolves when the replicas follow the primary. */
export async function startDatabaseGroup (options: DatabaseGroupOptions): Promise<DatabaseGroup> {
  const { group, size = DEFAULT_SIZE, failureDomains = [], ...shared } = options
  const databases: DatabaseStandIn[] = []

  function createDatabase (index: number): DatabaseStandIn {
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
    const database = createDatabase(index)
    await database.start()
    databases.push(database)
  }

  function primary (): DatabaseStandIn | null {
    const primaries = databases.filter((database) => {
      const { role, term, fencedTerm } = database.status()
      return role === 'primary' && fencedTerm <= term
    })
    primaries.sort((left, right) => right.status().term - left.status().term)
    return primaries[0] ?? null
  }

  return {
    databases,
    primary,
    stop: async () => { await Promise.all(databases.map(async (database) => await database.stop())) }
  }
}

/**
 * Databases that a group is assumed to have at least.
 *
 * There is no list of databases, and a new leader hears of them one after the other. With only the known ones counted, one database
 * would be a majority of itself and could be promoted without the writes that the other two hold. Both deployments and the capacity
 * target have groups of three, so a majority is at least two. The control leader counts fenced databases and holders count
 * acknowledgements over the same size.
 *
 * A larger group counts its announced databases. Majorities of sizes that differ by one overlap, so a database may join or leave at a
 * time; a group of five or more is not safe while a new leader knows fewer of its databases.
 */
export const ASSUMED_GROUP_SIZE = 3

/**
 * @param known - databases of the group that announced themselves
 * @returns how many of them are a majority of the group
 */
export function groupMajority (known: number): number {
  return Math.floor(Math.max(known, ASSUMED_GROUP_SIZE) / 2) + 1
}

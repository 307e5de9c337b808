/**
 * Smallest number of databases that a group is assumed to have.
 *
 * There is no list of databases, and a new leader receives their announcements one by one. If only the known databases counted,
 * a single database would be a majority of itself. It could be promoted without the writes that the other two hold. Both
 * deployments and the capacity target have groups of three, so a majority is at least two. The control leader counts fenced
 * databases, and connection holders count acknowledgements, against the same group size.
 *
 * For a larger group, the announced databases count. Majorities of two sizes that differ by one overlap, so databases may join or
 * leave one at a time. A group of five or more is not safe while a new leader knows fewer of its databases.
 */
export const ASSUMED_GROUP_SIZE = 3

/**
 * @param announcedCount - number of databases of the group that have announced themselves
 * @returns number of databases that make a majority of the group
 */
export function groupMajority (announcedCount: number): number {
  return Math.floor(Math.max(announcedCount, ASSUMED_GROUP_SIZE) / 2) + 1
}

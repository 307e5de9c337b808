import type { Tallies, Tally } from '../../types/service-level.js'

/** @returns tallies of no request */
export const emptyTallies = (): Tallies => ({ availability: { total: 0, bad: 0 }, latency: { total: 0, bad: 0 }, staleness: { total: 0, bad: 0 } })

const addTally = (left: Tally, right: Tally): Tally => ({ total: left.total + right.total, bad: left.bad + right.bad })

/** @returns the sums of the tallies of each objective */
export function addTallies (left: Tallies, right: Tallies): Tallies {
  return {
    availability: addTally(left.availability, right.availability),
    latency: addTally(left.latency, right.latency),
    staleness: addTally(left.staleness, right.staleness)
  }
}

/** @returns the tally of one request */
export const tallyOf = (bad: boolean): Tally => ({ total: 1, bad: bad ? 1 : 0 })

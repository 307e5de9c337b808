import type { IncarnationId } from '../../types/ids.js'

/** Number of replaced incarnations that are remembered for each process. No message is delayed across more restarts than this. */
const MAX_REMEMBERED_INCARNATIONS = 16

/** Incarnations that a newer one has replaced. The registries ignore their late messages. */
export interface RetiredIncarnations<Id> {
  add: (id: Id, incarnation: IncarnationId) => void
  has: (id: Id, incarnation: IncarnationId) => boolean
  /** Removes an incarnation that was retired wrongly, which happens when a new leader receives an old message after a newer one. */
  remove: (id: Id, incarnation: IncarnationId) => void
}

/** @returns an empty set of retired incarnations */
export function createRetiredIncarnations<Id> (): RetiredIncarnations<Id> {
  const retired = new Map<Id, IncarnationId[]>()
  return {
    add: (id, incarnation) => {
      retired.set(id, [...(retired.get(id) ?? []), incarnation].slice(-MAX_REMEMBERED_INCARNATIONS))
    },
    has: (id, incarnation) => retired.get(id)?.includes(incarnation) ?? false,
    remove: (id, incarnation) => {
      retired.set(id, (retired.get(id) ?? []).filter((other) => other !== incarnation))
    }
  }
}

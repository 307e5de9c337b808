import type { IncarnationId } from '../../types/ids.js'

/** Replaced incarnations that are remembered for each process. A message is not delayed over more restarts than this. */
const MAX_REMEMBERED_INCARNATIONS = 16

/** Incarnations that a newer one replaced. Their late messages are ignored. */
export interface RetiredIncarnations<Id> {
  add: (id: Id, incarnation: IncarnationId) => void
  has: (id: Id, incarnation: IncarnationId) => boolean
  /** Takes an incarnation back that was retired wrongly: a new leader may get an old message after a newer one. */
  remove: (id: Id, incarnation: IncarnationId) => void
}

/** @returns an empty memory of replaced incarnations */
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

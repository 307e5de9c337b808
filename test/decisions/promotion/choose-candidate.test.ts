// Guards against the loss of commits by the choice of a database whose history ends before the newest promotion, although its offset is
// higher: a former primary keeps the commits that the promotion has cut off until it reaches its successor.
import fc from 'fast-check'
import t from 'tap'
import { buildAnnouncedStatus } from '../../../src/decisions/membership/announcement-classification.js'
import { chooseCandidate } from '../../../src/decisions/promotion/choose-candidate.js'
import type { Candidate } from '../../../src/decisions/promotion/choose-candidate.js'
import type { PromotionCause, PromotionPlan } from '../../../src/decisions/promotion/promotion-step.js'
import { milliseconds } from '../../../src/types/clock.js'
import { address, databaseId, failureDomainId, groupId } from '../../../src/types/ids.js'

interface CandidateCase {
  name: string
  /** Term of the newest promotion that the database knows of. */
  historyTerm: number
  position: [term: number, offset: number]
  weight?: number
}

function buildCandidate ({ name, historyTerm, position: [term, offset], weight = 1 }: CandidateCase): Candidate {
  const database = databaseId(name)
  const status = { ...buildAnnouncedStatus(database, 1, 'replica'), term: historyTerm, position: { term, offset } }
  const announcement = { database, group: groupId('g'), address: address(`${name}:1`), failureDomain: failureDomainId('a'), departing: false, run: { startedAt: 1, sequence: 1, gone: false }, status }
  const registered = { announcement, departing: false, announcedAt: milliseconds(0), status, statusAt: milliseconds(0) }
  return { member: { database, address: announcement.address, weight, registered }, known: { status, requestedAt: milliseconds(0) } }
}

const buildPlan = (cause: PromotionCause): PromotionPlan => ({ cause, oldTerm: 2, oldPrimary: databaseId('lost'), preferredTarget: null, startedAt: milliseconds(0) })

const cases: { title: string, candidates: CandidateCase[], chosen: string }[] = [
  { title: 'the history of the newest promotion goes before a higher offset', candidates: [{ name: 'former', historyTerm: 1, position: [1, 84] }, { name: 'follower', historyTerm: 2, position: [1, 33] }], chosen: 'follower' },
  { title: 'it also goes before the weight', candidates: [{ name: 'former', historyTerm: 1, position: [1, 84] }, { name: 'follower', historyTerm: 2, position: [1, 33], weight: 0 }], chosen: 'follower' },
  { title: 'within one history the further position wins', candidates: [{ name: 'near', historyTerm: 2, position: [2, 35] }, { name: 'far', historyTerm: 2, position: [2, 36] }], chosen: 'far' }
]

t.test('the choice follows the history of the newest promotion', async (t) => {
  for (const { title, candidates, chosen } of cases) {
    for (const waitsForReplicas of [false, true]) {
      for (const listed of [candidates, [...candidates].reverse()]) t.equal(chooseCandidate(listed.map(buildCandidate), buildPlan('lost'), waitsForReplicas), databaseId(chosen), title)
    }
  }
})

t.test('no chosen database has an older history than another candidate', async () => {
  const candidate = fc.record({ name: fc.constantFrom('a', 'b', 'c', 'd', 'e'), historyTerm: fc.integer({ min: 1, max: 4 }), position: fc.tuple(fc.integer({ min: 1, max: 4 }), fc.integer({ min: 0, max: 9 })), weight: fc.constantFrom(0, 1) })
  const cause = fc.constantFrom<PromotionCause>('lost', 'moved', 'interrupted')
  fc.assert(fc.property(fc.uniqueArray(candidate, { minLength: 1, selector: ({ name }) => name }), cause, fc.boolean(), (listed, because, waitsForReplicas) => {
    const chosen = chooseCandidate(listed.map(buildCandidate), buildPlan(because), waitsForReplicas)
    const newest = Math.max(...listed.map(({ historyTerm }) => historyTerm))
    return listed.find(({ name }) => databaseId(name) === chosen)?.historyTerm === newest
  }), { seed: 20261204, numRuns: 500 })
})

import { z } from 'zod'
import { address, databaseId, failureDomainId, groupId, incarnationId } from '../../types/ids.js'

const MAX_TEXT_LENGTH = 200
const text = z.string().min(1).max(MAX_TEXT_LENGTH)
const count = z.int().min(0)

/** Body of `POST /v1/announcements`. */
export const announcementSchema = z.strictObject({
  database: text.transform(databaseId),
  group: text.transform(groupId),
  address: text.transform(address),
  failureDomain: text.transform(failureDomainId),
  departing: z.boolean(),
  status: z.strictObject({
    database: text.transform(databaseId),
    incarnation: text.transform(incarnationId),
    role: z.enum(['primary', 'replica']),
    term: count,
    fencedTerm: count,
    position: z.strictObject({ term: count, offset: count }),
    ageMs: z.number().min(0)
  })
})

import { z } from 'zod'
import type { CompactHeartbeat } from '../types/compact-message.js'
import type { EntryToControl, Heartbeat } from '../types/control-message.js'

/** A message of an entry instance as it is sent. */
export type EntryMessage = Exclude<EntryToControl, Heartbeat> | CompactHeartbeat

const name = z.string().min(1)
const count = z.number().int().nonnegative()
const amount = z.number().nonnegative()
const version = z.literal(1)

const status = z.looseObject({ database: name, incarnation: z.string(), role: z.enum(['primary', 'replica']), term: count, fencedTerm: count, position: z.object({ term: count, offset: count }) })
const announcement = z.looseObject({
  database: name,
  group: name,
  address: name,
  failureDomain: name,
  departing: z.boolean(),
  run: z.object({ startedAt: z.number(), sequence: z.number(), gone: z.boolean() }).optional(),
  status
})

const usage = z.object({
  timeOfDay: amount,
  finalThrough: z.number().int(),
  baseTerm: count,
  windows: z.array(z.object({ window: z.number().int(), counts: z.array(z.tuple([name, count])) }))
})

const tally = z.object({ total: count, bad: count })

const deltaOf = <Item extends z.ZodType>(item: Item) => z.object({ changed: z.array(item), removed: z.array(z.string()) })

const message = z.discriminatedUnion('kind', [
  z.looseObject({
    version,
    kind: z.literal('compact-heartbeat'),
    sequence: count,
    draining: z.boolean(),
    leaderTerm: count,
    manifestVersion: count,
    directoryVersion: z.object({ leaderTerm: count, counter: count }).nullable(),
    sender: z.object({ instance: name, incarnation: name, peerAddress: name, failureDomain: name }).nullable(),
    idleMs: amount.optional(),
    held: deltaOf(z.looseObject({ resource: name, amount, burst: amount, grant: count, returnedTokens: amount })),
    demand: deltaOf(z.looseObject({ resource: name, amount })),
    observations: deltaOf(z.looseObject({ database: name, status: status.nullable(), silentForMs: amount })),
    releasedTerms: deltaOf(z.looseObject({ group: name, term: z.number().int() })),
    usage: usage.optional()
  }),
  z.looseObject({ version, kind: z.literal('announcement'), ageMs: amount, announcement }),
  z.looseObject({ version, kind: z.literal('leave'), instance: name, incarnation: name, usage: usage.optional() }),
  z.looseObject({ version, kind: z.literal('service-level-increment'), instance: name, incarnation: name, sequence: count, workspaces: z.array(z.object({ workspace: name, tallies: z.object({ availability: tally, latency: tally, staleness: tally }) })) })
])

/**
 * Checks a decoded message of an entry instance. The leader acts on its content for the whole fleet, so a malformed message must change
 * nothing.
 * @throws Error that names the field when it is no valid message of this version
 */
export function checkEntryMessage (value: unknown): EntryMessage {
  const parsed = message.safeParse(value)
  if (parsed.success) return value as EntryMessage
  const [issue] = parsed.error.issues
  throw new Error(`message of an entry instance: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`)
}

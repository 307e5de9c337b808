import { z } from 'zod'
import type { ConsensusMessage } from '../types/consensus-message.js'

const count = z.number().int().nonnegative()
const name = z.string().min(1)

const member = z.object({ member: name, address: name, role: z.enum(['voter', 'learner']) })

const databaseRecord = z.object({
  database: name,
  group: name,
  address: name,
  failureDomain: name,
  startedAt: z.number(),
  role: z.enum(['primary', 'replica']),
  state: z.enum(['ready', 'departing', 'gone']),
  unconfirmed: z.literal(true).optional(),
  replacedIn: count.optional(),
  absent: z.literal(true).optional()
})

const window = z.number().int()
const usageCounts = z.array(z.tuple([name, count]))
const rateHolders = z.array(z.object({ workspace: name, instances: z.array(name) }))

const command = z.discriminatedUnion('kind', [
  // The leader checked the content of the manifest before it proposed the command.
  z.object({ kind: z.literal('commit-manifest'), base: count, manifest: z.looseObject({}), digest: name, operator: z.string() }),
  z.object({ kind: z.literal('adopt-manifest'), version: count, manifest: z.looseObject({}), document: z.string(), digest: name, operator: z.string() }),
  z.object({ kind: z.literal('set-failure-domain'), failureDomain: name, out: z.boolean() }),
  z.object({ kind: z.literal('record-database'), database: databaseRecord, superseded: z.array(z.object({ database: name, startedAt: z.number() })).optional() }),
  z.object({ kind: z.enum(['record-instance', 'forget-instance']), instance: name }),
  z.object({ kind: z.literal('record-rate-holders'), holders: rateHolders }),
  z.object({ kind: z.literal('begin-election'), group: name, term: count }),
  z.object({ kind: z.literal('set-primary'), group: name, term: count, database: name }),
  z.object({ kind: z.literal('count-requests'), at: count, increments: z.array(z.looseObject({ incarnation: name, sequence: count })) }),
  z.object({ kind: z.literal('record-usage'), window, counts: usageCounts }),
  z.object({ kind: z.literal('settle-usage'), window, outcome: z.enum(['accepted', 'left-out']) }),
  z.object({ kind: z.literal('barrier') })
])

const payload = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('command'), command }),
  z.object({ kind: z.literal('membership'), cluster: name, members: z.array(member) }),
  z.object({ kind: z.literal('leadership') })
])

const entry = z.object({ index: count, term: count, payload })

const state = z.object({
  manifestVersion: count,
  manifest: z.looseObject({}).nullable(),
  acceptedDigests: z.array(z.object({ version: count, digest: name, operator: z.string() })),
  groups: z.array(z.object({ group: name, term: count, primary: name.nullable(), phase: z.enum(['serving', 'electing']) })),
  manifestDocument: z.string().nullable(),
  withdrawnDomains: z.array(name),
  databases: z.array(databaseRecord),
  instances: z.array(name),
  serviceLevels: z.looseObject({ at: count, lostIncrements: count }),
  usage: z.object({ floor: window, windows: z.array(z.object({ window, counts: usageCounts, outcome: z.enum(['pending', 'accepted', 'left-out']) })) }).optional(),
  rateHolders: rateHolders.optional()
})

const snapshot = z.object({ index: count, term: count, cluster: name, members: z.array(member), state })

const version = z.literal(1)
const header = { version, cluster: name, from: name, fromAddress: name, to: name, term: count }
const logEnd = { lastIndex: count, lastTerm: count }
const probe = { version, from: name, fromAddress: name, nonce: count, cluster: name.nullable() }

const message = z.discriminatedUnion('kind', [
  z.object({ ...header, ...logEnd, kind: z.literal('pre-vote'), nextTerm: count }),
  z.object({ ...header, kind: z.literal('pre-vote-answer'), nextTerm: count, granted: z.boolean() }),
  z.object({ ...header, ...logEnd, kind: z.literal('vote') }),
  z.object({ ...header, kind: z.literal('vote-answer'), granted: z.boolean() }),
  z.object({
    ...header,
    kind: z.literal('append'),
    entryAddress: name,
    round: count,
    previousIndex: count,
    previousTerm: count,
    entries: z.array(entry),
    commitIndex: count
  }).refine((append) => append.entries.every((item, position) => item.index === append.previousIndex + 1 + position)),
  z.object({ ...header, kind: z.literal('append-answer'), round: count, accepted: z.boolean(), matchIndex: count, nextIndex: count }),
  z.object({ ...header, kind: z.literal('snapshot'), entryAddress: name, round: count, snapshot }),
  z.object({ ...header, kind: z.literal('resignation'), successor: name }),
  z.object({ ...probe, kind: z.literal('probe'), forwarded: z.boolean().optional() }),
  z.object({ ...probe, kind: z.literal('probe-answer'), to: name })
])

/**
 * Checks a decoded message of another member. A malformed message, such as one from another release, must not stop this member.
 * @param value - decoded message
 * @returns the value itself, or null when it is no valid message of this format version
 */
export function checkConsensusMessage (value: unknown): ConsensusMessage | null {
  return message.safeParse(value).success ? value as ConsensusMessage : null
}

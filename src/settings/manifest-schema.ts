import { z } from 'zod'
import { failureDomainId, groupId, keyId, workspaceId } from '../types/ids.js'

/** Names appear in database settings, log events and reports, so they are limited to plain characters. */
const nameSchema = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens, beginning with a letter')

const keyEntrySchema = z.strictObject({
  id: nameSchema.transform(keyId).describe('Public name of the key; appears in logs.'),
  digest: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hexadecimal digits').describe('SHA-256 of the key, as printed by `catkinrelay key new`.')
})

const objectivesSchema = z.strictObject({
  availability: z.number().gt(0).lt(1).describe('Share of requests that must succeed.'),
  latencyMs: z.number().positive().describe('99th percentile of answer times in milliseconds.'),
  stalenessMs: z.number().positive().describe('Oldest data that a read may return in milliseconds.')
})

const workspaceSchema = z.strictObject({
  id: nameSchema.transform(workspaceId).describe('Name of the workspace.'),
  group: nameSchema.transform(groupId).describe('Database group that holds the data of the workspace.'),
  rate: z.number().positive().describe('Requests per second over all instances together.'),
  burst: z.number().min(1).describe('Requests that may come at once over all instances together.'),
  weight: z.number().positive().default(1).describe('Weight in fair queueing; default 1.'),
  keys: z.array(keyEntrySchema).describe('Keys in force; a key that is taken out of the list is withdrawn.'),
  objectives: objectivesSchema.optional().describe('Objectives of the service-level burn report.')
})

const groupSchema = z.strictObject({
  id: nameSchema.transform(groupId).describe('Name of the database group, as its databases announce it.'),
  slots: z.int().min(1).describe('Statements that each database runs at a time.'),
  connections: z.int().min(4).describe('Connections that each database accepts from catkinrelay.'),
  acknowledgingReplicas: z.int().min(0).optional().describe('Replicas that the databases wait for before they acknowledge a commit; default 0.')
})

const endpointSchema = z.strictObject({
  name: nameSchema.describe('Name that the caller gives when it opens a session.'),
  path: z.string().default('/').describe('Tells endpoints of one name apart; default `/`.'),
  group: nameSchema.transform(groupId).describe('Database group that serves the sessions.'),
  consistency: z.enum(['primary', 'bounded-staleness', 'read-your-writes']).describe('What reads of a session must see.'),
  maxStalenessMs: z.number().min(0).default(0).describe('Oldest data that a read may return in milliseconds; default 0.'),
  statementTimeoutMs: z.number().positive().describe('Longest time of one statement in milliseconds.'),
  objectiveMs: z.number().positive().describe('Time in which an operation should be answered in milliseconds.'),
  priority: z.int().min(0).default(0).describe('0 is served first; default 0.'),
  open: z.boolean().default(false).describe('Whether the endpoint needs no key; default false.')
})

const sessionLimitsSchema = z.strictObject({
  idleTransactionMs: z.number().positive().describe('A transaction that runs no statement for this long may be ended, in milliseconds.')
})

const routeSchema = z.strictObject({
  name: nameSchema.describe('Name of the route in its path.'),
  workspace: nameSchema.transform(workspaceId).describe('Workspace that the statement runs for.'),
  statement: z.string().min(1).describe('SQL statement with numbered parameters.'),
  access: z.enum(['read', 'write']).describe('Whether the statement reads or writes.'),
  open: z.boolean().default(false).describe('Whether the route needs no key; default false.')
})

const failureDomainSchema = z.strictObject({
  id: nameSchema.transform(failureDomainId).describe('Name of the failure domain, as instances and databases state it.'),
  state: z.enum(['in', 'out']).default('in').describe('`out`: gets no new work; default `in`.')
})

/** Schema of a manifest. `checkManifest` also checks references between its parts. */
export const manifestSchema = z.strictObject({
  formatVersion: z.literal(1).describe('Version of the manifest format.'),
  failureDomains: z.array(failureDomainSchema).min(1).describe('Failure domains and whether they get work.'),
  groups: z.array(groupSchema).min(1).describe('Database groups and what each of their databases can take.'),
  workspaces: z.array(workspaceSchema).describe('Workspaces with their limits and keys.'),
  routes: z.array(routeSchema).prefault([]).describe('Statements that callers run by name; default none.'),
  endpoints: z.array(endpointSchema).optional().describe('Named databases on which callers open sessions over a connection; default none.'),
  sessionLimits: sessionLimitsSchema.optional().describe('Limits of sessions over a connection.')
})

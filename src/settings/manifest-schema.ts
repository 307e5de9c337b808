import { z } from 'zod'
import { failureDomainId, groupId, keyId, workspaceId } from '../types/ids.js'

/** Names appear in settings of databases, log events and reports, so they stay plain. */
const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens, beginning with a letter')

const keyEntry = z.strictObject({
  id: name.transform(keyId).describe('Public name of the key; appears in logs.'),
  digest: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hexadecimal digits').describe('SHA-256 of the key, as printed by `catkinrelay key new`.')
})

const objectives = z.strictObject({
  availability: z.number().gt(0).lt(1).describe('Share of requests that must succeed.'),
  latencyMs: z.number().positive().describe('99th percentile of answer times in milliseconds.'),
  stalenessMs: z.number().positive().describe('Oldest data that a read may return in milliseconds.')
})

const workspace = z.strictObject({
  id: name.transform(workspaceId).describe('Name of the workspace.'),
  group: name.transform(groupId).describe('Database group that holds the data of the workspace.'),
  rate: z.number().positive().describe('Requests per second over all instances together.'),
  burst: z.number().min(1).describe('Requests that may come at once over all instances together.'),
  weight: z.number().positive().default(1).describe('Weight in fair queueing; default 1.'),
  keys: z.array(keyEntry).describe('Keys in force; a key that is taken out of the list is withdrawn.'),
  objectives: objectives.optional().describe('Objectives of the service-level burn report.')
})

const group = z.strictObject({
  id: name.transform(groupId).describe('Name of the database group, as its databases announce it.'),
  slots: z.int().min(1).describe('Statements that each database runs at a time.'),
  connections: z.int().min(4).describe('Connections that each database accepts from catkinrelay.'),
  acknowledgingReplicas: z.int().min(0).optional().describe('Replicas that the databases wait for before they acknowledge a commit; default 0.')
})

const endpoint = z.strictObject({
  name: name.describe('Name that the caller gives when it opens a session.'),
  path: z.string().default('/').describe('Tells endpoints of one name apart; default `/`.'),
  group: name.transform(groupId).describe('Database group that serves the sessions.'),
  consistency: z.enum(['primary', 'bounded-staleness', 'read-your-writes']).describe('What reads of a session must see.'),
  maxStalenessMs: z.number().min(0).default(0).describe('Oldest data that a read may return in milliseconds; default 0.'),
  statementTimeoutMs: z.number().positive().describe('Longest time of one statement in milliseconds.'),
  objectiveMs: z.number().positive().describe('Time in which an operation should be answered in milliseconds.'),
  priority: z.int().min(0).default(0).describe('0 is served first; default 0.'),
  open: z.boolean().default(false).describe('Whether the endpoint needs no key; default false.')
})

const sessionLimits = z.strictObject({
  idleTransactionMs: z.number().positive().describe('A transaction that runs no statement for this long may be ended, in milliseconds.')
})

const route = z.strictObject({
  name: name.describe('Name of the route in its path.'),
  workspace: name.transform(workspaceId).describe('Workspace that the statement runs for.'),
  statement: z.string().min(1).describe('SQL statement with numbered parameters.'),
  access: z.enum(['read', 'write']).describe('Whether the statement reads or writes.'),
  open: z.boolean().default(false).describe('Whether the route needs no key; default false.')
})

const failureDomain = z.strictObject({
  id: name.transform(failureDomainId).describe('Name of the failure domain, as instances and databases state it.'),
  state: z.enum(['in', 'out']).default('in').describe('`out`: gets no new work; default `in`.')
})

/** Shape of a manifest; `checkManifest` adds the checks across fields. */
export const manifestSchema = z.strictObject({
  formatVersion: z.literal(1).describe('Version of the manifest format.'),
  failureDomains: z.array(failureDomain).min(1).describe('Failure domains and whether they get work.'),
  groups: z.array(group).min(1).describe('Database groups and what each of their databases can take.'),
  workspaces: z.array(workspace).describe('Workspaces with their limits and keys.'),
  routes: z.array(route).prefault([]).describe('Statements that callers run by name; default none.'),
  endpoints: z.array(endpoint).optional().describe('Named databases on which callers open sessions over a connection; default none.'),
  sessionLimits: sessionLimits.optional().describe('Limits of sessions over a connection.')
})

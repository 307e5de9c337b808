import { z } from 'zod'
import { failureDomainId, instanceId, address } from '../types/ids.js'
import { addressSchema, databaseCredentialsSchema, keyPairSchema, listenSchema, logSchema, secretSchema, tlsSchema } from './common-schema.js'

const limitsSchema = z.strictObject({
  bodyBytes: z.int().min(1024).default(1024 * 1024).describe('Largest request body in bytes; default 1 MiB.'),
  headerCount: z.int().min(8).default(64).describe('Most headers of a request; default 64.'),
  headersMs: z.int().min(100).default(5000).describe('Time to send all headers in milliseconds; default 5,000.'),
  idleConnectionMs: z.int().min(100).default(60000).describe('Time that a caller connection may stay idle in milliseconds; default 60,000.'),
  handshakeMs: z.int().min(100).default(5000).describe('Time for a TLS handshake in milliseconds; default 5,000.'),
  connections: z.int().min(1).default(1000).describe('Connections of callers; default 1,000.'),
  bodyMemoryBytes: z.int().min(1024).default(32 * 1024 * 1024).describe('Memory for request bodies above 16 KiB that are received or served, in bytes; default 32 MiB.'),
  deadlineMs: z.int().min(1).default(5000).describe('Deadline of a request that states none, in milliseconds; default 5,000.'),
  longestDeadlineMs: z.int().min(1).default(30000).describe('Longest deadline that a request may state, in milliseconds; default 30,000.')
})

/** Settings of an entry instance. `npm run docs:tables` generates docs/settings.md from this schema. */
export const entrySettingsSchema = z.strictObject({
  instance: z.string().min(1).transform(instanceId).describe('Name of the instance; unique in the deployment and stable over restarts.'),
  failureDomain: z.string().min(1).transform(failureDomainId).describe('Failure domain that the instance runs in.'),
  callers: listenSchema.describe('HTTP address for callers and database announcements.'),
  callersTls: keyPairSchema.optional().describe('Key files for HTTPS to callers; absent: plain HTTP.'),
  operators: listenSchema.describe('HTTP address for health, readiness and metrics.'),
  peers: listenSchema.describe('Address for other instances of the system.'),
  peerAddress: addressSchema.transform(address).optional().describe('host:port under which other instances reach `peers`; default: the listening address.'),
  control: z.array(addressSchema.transform(address)).min(1).describe('Addresses of the control instances.'),
  clusterSecret: secretSchema.describe('Secret shared by all instances of the deployment.'),
  announcementSecret: secretSchema.describe('Secret with which databases announce themselves.'),
  database: databaseCredentialsSchema.describe('Credentials of the system at the databases.'),
  tls: tlsSchema.optional().describe('Key files for connections between instances; absent: plain.'),
  limits: limitsSchema.prefault({}).describe('Limits on callers.'),
  drainMs: z.int().min(0).default(10000).describe('Time for running requests and transactions to finish at shutdown in milliseconds; default 10,000.'),
  log: logSchema.prefault({}).describe('Logging.')
})

export type EntrySettings = z.output<typeof entrySettingsSchema>

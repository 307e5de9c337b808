import { z } from 'zod'
import { address, instanceId } from '../types/ids.js'
import { addressSchema, databaseCredentialsSchema, keyPairSchema, listenSchema, logSchema, secretSchema, tlsSchema } from './common-schema.js'

const operatorSchema = z.strictObject({
  name: z.string().min(1).describe('Name of the operator, as it appears in reports.'),
  digest: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hexadecimal digits').describe('SHA-256 of the operator credential.')
})

/** Settings of a control instance. `npm run docs:tables` generates docs/settings.md from this schema. */
export const controlSettingsSchema = z.strictObject({
  instance: z.string().min(1).transform(instanceId).describe('Name of the instance; unique in the deployment and stable over restarts.'),
  listen: listenSchema.describe('Address for entry instances and other control instances.'),
  ownAddress: addressSchema.transform(address).describe('host:port under which the other instances reach `listen`; one of `members`.'),
  members: z.array(addressSchema.transform(address)).min(1).describe('Addresses of all control instances, this one included.'),
  operators: listenSchema.describe('HTTP address for operators.'),
  operatorAddress: addressSchema.transform(address).optional().describe('host:port under which operators reach `operators`; default: the listening address.'),
  operatorCredentials: z.array(operatorSchema).min(1).describe('Operators that may commit manifests and read reports.'),
  operatorsTls: keyPairSchema.optional().describe('Key files for HTTPS to operators; absent: plain HTTP.'),
  dataFolder: z.string().min(1).describe('Folder of the durable state.'),
  clusterSecret: secretSchema.describe('Secret shared by all instances of the deployment.'),
  database: databaseCredentialsSchema.describe('Credentials of the system at the databases.'),
  tls: tlsSchema.optional().describe('Key files for connections between instances; absent: plain.'),
  manifestBytes: z.int().min(1024).default(8 * 1024 * 1024).describe('Largest manifest in bytes; default 8 MiB.'),
  log: logSchema.prefault({}).describe('Logging.')
}).refine((settings) => settings.members.includes(settings.ownAddress), { path: ['ownAddress'], message: 'expected one of the addresses in members' })

export type ControlSettings = z.output<typeof controlSettingsSchema>

import { z } from 'zod'
import { failureDomainId, instanceId } from '../types/ids.js'
import { addressSchema } from './common-schema.js'
import { instanceLimitsSchema } from './instance-limits.js'

/** Settings of a process on the users' platform. The platform fills in the template that the deploy file names. It may add fields, so unknown fields are ignored. */
export const platformSettingsSchema = z.object({
  instance: z.string().min(1).transform(instanceId).describe('Name of the instance; unique in the deployment and stable over restarts.'),
  failureDomain: z.string().min(1).transform(failureDomainId).describe('Failure domain that the instance runs in.'),
  host: z.string().min(1).describe('IP address of the machine.'),
  internalPorts: z.tuple([z.int().min(1).max(65535), z.int().min(1).max(65535)]).describe('First and last port that is free for connections between instances.'),
  seeds: z.array(addressSchema).min(1).describe('Addresses at which some control instances take announcements and orders.'),
  callers: addressSchema.optional().describe('Address for callers; only on entry instances.'),
  readiness: addressSchema.optional().describe('Address of the readiness probe; only on entry instances.'),
  registry: addressSchema.optional().describe('Address for announcements and operators; only on control instances.'),
  dataFolder: z.string().min(1).optional().describe('Folder of the durable state; only on control instances.'),
  authority: addressSchema.optional().describe('Address of the authority that names primaries.'),
  isFirstStart: z.boolean().default(false).describe('Whether the whole deployment starts for the first time; default false.'),
  announcementIntervalMs: z.number().positive().default(1000).describe('Time between two announcements of a database in milliseconds; default 1,000.'),
  toleratedInstances: z.int().min(0).default(1).describe('Control instances that may be lost at once; default 1.'),
  rateExcessShare: z.number().min(0).default(0).describe('Excess over rate and burst of a workspace that is tolerated, as a part of both; default 0.'),
  rateExcessRequests: z.number().min(0).default(0).describe('Requests above rate and burst that are tolerated besides; default 0.'),
  stopLimitSeconds: z.number().positive().default(10).describe('Time between the order to stop and the kill in seconds; default 10.'),
  recoveryLimitSeconds: z.number().positive().default(12).describe('Time after a restart of all instances within which each group must serve again in seconds; default 12.'),
  linkMegabits: z.number().positive().nullable().default(null).describe('Speed of the network link of the machine in Mbit/s. Below 10, calls between entry instances are compressed if the processor has room; default: unknown, no compression.'),
  preparesChannels: z.boolean().default(false).describe('Whether entry instances open channels to each other ahead of the first call, where they lend connections; default false.'),
  processorShare: z.number().positive().nullable().default(null).describe('Share of a core that the process may use. Calls are compressed from 0.25 on; default: unknown, no compression.'),
  meteringWindowSeconds: z.number().positive().optional().describe('Length of the windows in which the usage of workspaces is reported to the authority, in seconds; absent: no metering.'),
  meteringLateSeconds: z.number().positive().default(10).describe('Time between the end of a window and the due time of its usage report in seconds; default 10.'),
  meteringLeaseMs: z.number().min(0).default(3000).describe('Time for which a control leader must have led before it sends usage reports in milliseconds; default 3,000.'),
  unconfirmedServiceMs: z.number().min(4000).max(60_000).optional().describe('Time after the last confirmation by control for which entry instances go on serving, in milliseconds; the same on all instances. A withdrawn key works for at most as long at an instance that is cut off. Absent: derived from failsClosed, contactMs and configurationApplyMs.'),
  failsClosed: z.boolean().nullish().describe('Whether entry instances that control can\'t reach must refuse; false: they serve for contactMs and configurationApplyMs together. Absent or true: for 4,000 ms.'),
  contactMs: z.number().min(0).nullish().describe('Time in which the loss of contact to an instance is noticed, in milliseconds.'),
  configurationApplyMs: z.number().min(0).nullish().describe('Time in which a new configuration is in force on every instance, in milliseconds.'),
  failureDomainExitMs: z.number().positive().optional().describe('Time within which a failure domain that operators take out of service must be empty, in milliseconds; absent: none is ever taken out.'),
  slotScheduling: z.boolean().default(false).describe('Whether entry instances order statements by the slots of the databases, and refuse early what finds no room; default false.'),
  crossDomainReads: z.enum(['fixed', 'adaptive']).optional().describe('How reads leave their failure domain: `fixed` at fixed costs, `adaptive` from measured times; absent: `adaptive` where failureDomainExitMs is absent, else `fixed`.'),
  crossDomainPriceMs: z.number().min(0).default(25).describe('Time in milliseconds that a read must gain before it may leave its failure domain, with `adaptive`; default 25.'),
  limits: instanceLimitsSchema.prefault({}).describe('Limits of what clients can make the process hold.'),
  clusterSecret: z.string().min(16).default('catkinrelay-platform-network').describe('Secret shared by all instances; the default suits a network that only the instances can use.')
})

export type PlatformSettings = z.output<typeof platformSettingsSchema>

import { z } from 'zod'

const MIB = 1024 * 1024
const count = z.int().min(1).optional()
const bytes = z.int().min(MIB).optional()
const duration = z.number().positive()

/** Limits of what clients can make an instance hold. Defaults follow from the memory and the descriptors of the machine. */
export const instanceLimitsSchema = z.object({
  memoryMb: z.number().positive().nullish().transform((value) => value ?? 250).describe('Memory of the machine in MB; default 250.'),
  descriptors: z.int().min(64).nullish().transform((value) => value ?? 4096).describe('Descriptors that the process may open; default 4,096.'),
  callerConnections: count.describe('Connections of callers; default an eighth of `descriptors`.'),
  messageMemoryBytes: bytes.describe('Memory for messages above 16 KiB that are received or run, in bytes; default a sixteenth of `memoryMb`.'),
  answerMemoryBytes: bytes.describe('Memory for answers that are received or not read yet, in bytes; default a sixteenth of `memoryMb`.'),
  sessionMemoryBytes: bytes.describe('Memory for values and prepared statements of all sessions, in bytes; one session gets a quarter; default a sixteenth of `memoryMb`.'),
  startTimeoutMs: duration.default(5000).describe('Time within which a caller has to open its session in milliseconds; default 5,000.'),
  progressTimeoutMs: duration.default(30_000).describe('Time within which 1 KiB of a message or an answer has to move in milliseconds; default 30,000.'),
  closeTimeoutMs: duration.default(10_000).describe('Time within which a caller has to close a connection that the instance has ended, in milliseconds; default 10,000.'),
  httpConnections: count.describe('Connections to each HTTP port; default an eighth of `descriptors`.'),
  httpMemoryBytes: bytes.describe('Memory for HTTP bodies above 16 KiB at each port, in bytes; default an eighth of `memoryMb`.'),
  httpRequestTimeoutMs: duration.default(10_000).describe('Time within which an HTTP request has to arrive in milliseconds; default 10,000.'),
  internalConnections: count.describe('Connections from other instances that have not proved to know the secret; default an eighth of `descriptors`.'),
  handshakeTimeoutMs: duration.default(5000).describe('Time within which another instance has to prove that it knows the secret, in milliseconds; default 5,000.')
})

const CONNECTION_SHARE = 8
const BUDGET_SHARE = 16
const HTTP_SHARE = 8

/** Limits with all defaults filled in. */
export type InstanceLimits = ReturnType<typeof resolveInstanceLimits>

/** Limits of callers of the wire protocol. */
export type CallerLimits = Pick<InstanceLimits, 'callerConnections' | 'messageMemoryBytes' | 'startTimeoutMs' | 'progressTimeoutMs' | 'closeTimeoutMs'>

/** Fills in the defaults that follow from the memory and the descriptors of the machine. */
export function resolveInstanceLimits (limits: z.input<typeof instanceLimitsSchema>) {
  const parsed = instanceLimitsSchema.parse(limits)
  const connections = Math.max(1, Math.floor(parsed.descriptors / CONNECTION_SHARE))
  const memoryBytes = parsed.memoryMb * MIB
  const budget = Math.max(MIB, Math.floor(memoryBytes / BUDGET_SHARE))
  return {
    ...parsed,
    callerConnections: parsed.callerConnections ?? connections,
    messageMemoryBytes: parsed.messageMemoryBytes ?? budget,
    answerMemoryBytes: parsed.answerMemoryBytes ?? budget,
    sessionMemoryBytes: parsed.sessionMemoryBytes ?? budget,
    httpConnections: parsed.httpConnections ?? connections,
    httpMemoryBytes: parsed.httpMemoryBytes ?? Math.max(MIB, Math.floor(memoryBytes / HTTP_SHARE)),
    internalConnections: parsed.internalConnections ?? connections
  }
}

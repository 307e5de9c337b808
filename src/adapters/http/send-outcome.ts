import type { FastifyReply } from 'fastify'
import type { Outcome, Refusal } from '../../types/outcome.js'
import { findResultCodeEntry } from '../../types/result-code.js'

const MS_PER_SECOND = 1000

/** Sends a refusal with its numbered result code. */
export function sendRefusal (reply: FastifyReply, refusal: Refusal): FastifyReply {
  const { code, outcome, message, retryAfterMs } = refusal
  const entry = findResultCodeEntry(code)
  if (retryAfterMs !== null) reply.header('retry-after', Math.ceil(retryAfterMs / MS_PER_SECOND))
  return reply.code(entry.status).send({ code, name: entry.name, outcome, message, retryAfterMs })
}

/**
 * Sends the outcome of a request.
 * @param sessionToken - token of the session after this request; null when the request adds nothing to it
 */
export function sendOutcome (reply: FastifyReply, outcome: Outcome, sessionToken: string | null): FastifyReply {
  if (outcome.kind === 'refusal') return sendRefusal(reply, outcome)
  if (sessionToken !== null) reply.header('catkinrelay-session', sessionToken)
  if (outcome.role !== null) reply.header('catkinrelay-served-by', outcome.role)
  if (outcome.ageMs !== null) reply.header('catkinrelay-age-ms', Math.ceil(outcome.ageMs))
  const { rows, rowCount, transaction } = outcome
  return reply.send(transaction === null ? { rows, rowCount } : { rows, rowCount, transaction })
}

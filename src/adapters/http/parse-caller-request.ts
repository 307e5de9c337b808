import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { z } from 'zod'
import type { CallerOperation, CallerRequest } from '../../types/caller-request.js'
import type { Refusal } from '../../types/outcome.js'
import { buildRefusal } from '../../types/result-code.js'

const MAX_NAME_LENGTH = 200

const columnValue = z.union([z.string(), z.number(), z.boolean(), z.null()])

/** Body of `POST /v1/statements`. */
export const statementBody = z.strictObject({
  statement: z.string().min(1),
  values: z.array(columnValue).default([]),
  access: z.enum(['read', 'write']).default('write')
})

/** Body of `POST /v1/transactions/{id}/statements`. */
export const transactionStatementBody = z.strictObject({
  statement: z.string().min(1),
  values: z.array(columnValue).default([])
})

/** Body of `POST /v1/routes/{name}`. */
export const routeBody = z.strictObject({ values: z.array(columnValue).default([]) })

/** Body of requests that have no fields. */
export const emptyBody = z.strictObject({})

/** @returns the parsed body, or a refusal that names each invalid field */
export function parseBody<Schema extends z.ZodType> (schema: Schema, body: unknown): Result<z.output<Schema>, Refusal> {
  const parsed = schema.safeParse(body ?? {})
  if (parsed.success) return ok(parsed.data)
  const problems = parsed.error.issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
  return err(buildRefusal('malformedRequest', 'not-run', problems.join('; ')))
}

function readSingleHeader (headers: IncomingHttpHeaders, name: string): string | null {
  const value = headers[name]
  return typeof value === 'string' && value !== '' ? value : null
}

function parseMilliseconds (headers: IncomingHttpHeaders, name: string): Result<number | null, Refusal> {
  const text = readSingleHeader(headers, name)
  if (text === null) return ok(null)
  if (/^\d{1,9}$/.test(text)) return ok(Number(text))
  return err(buildRefusal('headerInvalid', 'not-run', `${name}: expected whole milliseconds`))
}

function parseName (headers: IncomingHttpHeaders, name: string): Result<string | null, Refusal> {
  const text = readSingleHeader(headers, name)
  if (text === null || text.length <= MAX_NAME_LENGTH) return ok(text)
  return err(buildRefusal('headerInvalid', 'not-run', `${name}: expected at most ${MAX_NAME_LENGTH} characters`))
}

function parseBearerKey (headers: IncomingHttpHeaders): Result<string | null, Refusal> {
  const text = readSingleHeader(headers, 'authorization')
  if (text === null) return ok(null)
  const match = /^Bearer ([^\s]{1,200})$/i.exec(text)
  if (match !== null) return ok(match[1] ?? null)
  return err(buildRefusal('headerInvalid', 'not-run', 'authorization: expected Bearer and a key'))
}

function parseFlag (headers: IncomingHttpHeaders, name: string): Result<boolean, Refusal> {
  const text = readSingleHeader(headers, name)
  if (text === null || text === 'false') return ok(false)
  if (text === 'true') return ok(true)
  return err(buildRefusal('headerInvalid', 'not-run', `${name}: expected true or false`))
}

/**
 * Builds a caller request from its operation and its headers.
 * @returns the request, or a refusal that names the first invalid header
 */
export function parseCallerRequest (headers: IncomingHttpHeaders, operation: CallerOperation): Result<CallerRequest, Refusal> {
  const key = parseBearerKey(headers)
  if (key.isErr()) return err(key.error)
  const sessionToken = parseName(headers, 'catkinrelay-session')
  if (sessionToken.isErr()) return err(sessionToken.error)
  const sessionId = parseName(headers, 'catkinrelay-session-id')
  if (sessionId.isErr()) return err(sessionId.error)
  const idempotencyKey = parseName(headers, 'catkinrelay-idempotency-key')
  if (idempotencyKey.isErr()) return err(idempotencyKey.error)
  const nonIdempotent = parseFlag(headers, 'catkinrelay-non-idempotent')
  if (nonIdempotent.isErr()) return err(nonIdempotent.error)
  const oldestAgeMs = parseMilliseconds(headers, 'catkinrelay-oldest-age-ms')
  if (oldestAgeMs.isErr()) return err(oldestAgeMs.error)
  const deadlineMs = parseMilliseconds(headers, 'catkinrelay-deadline-ms')
  if (deadlineMs.isErr()) return err(deadlineMs.error)
  return ok({
    key: key.value,
    operation,
    sessionToken: sessionToken.value,
    sessionId: sessionId.value,
    idempotencyKey: idempotencyKey.value,
    nonIdempotent: nonIdempotent.value,
    oldestAgeMs: oldestAgeMs.value,
    deadlineMs: deadlineMs.value
  })
}

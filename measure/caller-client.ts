import { Pool } from 'undici'
import type { Address } from '../src/types/ids.js'

const DEFAULT_CONNECTIONS_PER_INSTANCE = 32

/** Options of one call. The client sends each as an HTTP header. */
export interface CallerHeaders {
  /** Session token from an earlier answer. */
  session?: string | null
  /** Id of a session. Without a session token, the primary serves the reads of such a session. */
  sessionId?: string
  idempotencyKey?: string
  nonIdempotent?: boolean
  deadlineMs?: number
  oldestAgeMs?: number
}

/** Response to one call. `status` is the HTTP status, or 0 if the call failed without a response. */
export interface CallAnswer {
  status: number
  body: {
    rows?: Record<string, unknown>[]
    rowCount?: number
    transaction?: string
    code?: number
    outcome?: 'not-run' | 'ran' | 'unknown'
    message?: string
    retryAfterMs?: number | null
  }
  /** Session token for the next call of the session. */
  session: string | null
  /** Role of the database that served the call; null if the answer does not tell. */
  servedBy: string | null
}

/** An HTTP client that calls entry instances with the API key of one workspace. */
export interface CallerClient {
  call: (instance: number, path: string, body: unknown, headers?: CallerHeaders) => Promise<CallAnswer>
  read: (instance: number, statement: string, values: unknown[], headers?: CallerHeaders) => Promise<CallAnswer>
  write: (instance: number, statement: string, values: unknown[], headers?: CallerHeaders) => Promise<CallAnswer>
  close: () => Promise<void>
}

function buildHeaders (key: string | null, headers: CallerHeaders): Record<string, string> {
  return {
    'content-type': 'application/json',
    ...(key === null ? {} : { authorization: `Bearer ${key}` }),
    ...(headers.session === undefined || headers.session === null ? {} : { 'catkinrelay-session': headers.session }),
    ...(headers.sessionId === undefined ? {} : { 'catkinrelay-session-id': headers.sessionId }),
    ...(headers.idempotencyKey === undefined ? {} : { 'catkinrelay-idempotency-key': headers.idempotencyKey }),
    ...(headers.nonIdempotent === true ? { 'catkinrelay-non-idempotent': 'true' } : {}),
    ...(headers.deadlineMs === undefined ? {} : { 'catkinrelay-deadline-ms': String(headers.deadlineMs) }),
    ...(headers.oldestAgeMs === undefined ? {} : { 'catkinrelay-oldest-age-ms': String(headers.oldestAgeMs) })
  }
}

function toSingleValue (value: string | string[] | undefined): string | null {
  return typeof value === 'string' ? value : null
}

/**
 * Creates a client with one connection pool for each entry instance.
 * @param addresses - caller addresses of the entry instances; calls name an instance by its index here, modulo their number
 * @param key - API key of the workspace; null to send none
 * @param connections - maximum number of connections to one instance; default 32
 * @returns a client whose calls never reject
 */
export function createCallerClient (addresses: readonly Address[], key: string | null, connections = DEFAULT_CONNECTIONS_PER_INSTANCE): CallerClient {
  const pools = addresses.map((address) => new Pool(`http://${address}`, { connections, pipelining: 1 }))

  async function call (instance: number, path: string, body: unknown, headers: CallerHeaders = {}): Promise<CallAnswer> {
    const pool = pools[instance % pools.length] as Pool
    try {
      const answer = await pool.request({ method: 'POST', path, headers: buildHeaders(key, headers), body: JSON.stringify(body) })
      return {
        status: answer.statusCode,
        body: await answer.body.json() as CallAnswer['body'],
        session: toSingleValue(answer.headers['catkinrelay-session']),
        servedBy: toSingleValue(answer.headers['catkinrelay-served-by'])
      }
    } catch (error) {
      return { status: 0, body: { message: (error as Error).message }, session: null, servedBy: null }
    }
  }

  return {
    call,
    read: async (instance, statement, values, headers) => await call(instance, '/v1/statements', { statement, values, access: 'read' }, headers),
    write: async (instance, statement, values, headers) => await call(instance, '/v1/statements', { statement, values }, headers),
    close: async () => { await Promise.all(pools.map(async (pool) => { await pool.destroy() })) }
  }
}

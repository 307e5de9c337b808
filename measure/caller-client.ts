import { Pool } from 'undici'
import type { Address } from '../src/types/ids.js'

const DEFAULT_CONNECTIONS = 32

export interface CallerHeaders {
  session?: string | null
  sessionId?: string
  idempotencyKey?: string
  nonIdempotent?: boolean
  deadlineMs?: number
  oldestAgeMs?: number
}

/** Answer of one call; `status` 0 means that no answer came. */
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
  session: string | null
  servedBy: string | null
}

/** A caller of one workspace, over the documented HTTP interface. */
export interface CallerClient {
  call: (instance: number, path: string, body: unknown, headers?: CallerHeaders) => Promise<CallAnswer>
  read: (instance: number, statement: string, values: unknown[], headers?: CallerHeaders) => Promise<CallAnswer>
  write: (instance: number, statement: string, values: unknown[], headers?: CallerHeaders) => Promise<CallAnswer>
  close: () => Promise<void>
}

function headersOf (key: string | null, headers: CallerHeaders): Record<string, string> {
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

function textOf (value: string | string[] | undefined): string | null {
  return typeof value === 'string' ? value : null
}

/**
 * @param connections - most connections to one instance; default 32
 * @returns a client that calls instances by their index in `addresses`
 */
export function createCallerClient (addresses: readonly Address[], key: string | null, connections = DEFAULT_CONNECTIONS): CallerClient {
  const pools = addresses.map((address) => new Pool(`http://${address}`, { connections, pipelining: 1 }))

  async function call (instance: number, path: string, body: unknown, headers: CallerHeaders = {}): Promise<CallAnswer> {
    const pool = pools[instance % pools.length] as Pool
    try {
      const answer = await pool.request({ method: 'POST', path, headers: headersOf(key, headers), body: JSON.stringify(body) })
      return {
        status: answer.statusCode,
        body: await answer.body.json() as CallAnswer['body'],
        session: textOf(answer.headers['catkinrelay-session']),
        servedBy: textOf(answer.headers['catkinrelay-served-by'])
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

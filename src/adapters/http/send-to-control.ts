import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { Agent, request } from 'undici'
import type { Address } from '../../types/ids.js'

export interface ControlRequest {
  method: 'GET' | 'POST'
  path: string
  /** JSON text. */
  body?: string
}

export interface ControlResponse {
  status: number
  /** The parsed body; null when it is not JSON. */
  body: unknown
}

export interface SendFailure {
  /** Whether the request may have reached the instance. */
  maybeSent: boolean
  message: string
}

/** Sends one HTTP request to one control instance. */
export type SendToControl = (address: Address, request: ControlRequest) => Promise<Result<ControlResponse, SendFailure>>

export interface ControlSenderOptions {
  credential: string
  /** Certificate of the certificate authority in PEM; null: plain HTTP. */
  authority: string | null
  /** Longest wait for the headers of an answer, and then for each part of its body, in milliseconds. */
  answerTimeoutMs: number
}

const CONNECT_TIMEOUT_MS = 2000

/** Codes of errors that occur only before the first byte of a request is sent. */
const NOT_SENT_ERROR_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'ERR_TLS_CERT_ALTNAME_INVALID', 'DEPTH_ZERO_SELF_SIGNED_CERT', 'SELF_SIGNED_CERT_IN_CHAIN', 'UNABLE_TO_VERIFY_LEAF_SIGNATURE', 'UNABLE_TO_GET_ISSUER_CERT_LOCALLY', 'CERT_HAS_EXPIRED', 'EPROTO'])

function parseBody (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return null
  }
}

/** @returns a function that sends HTTP requests of operators to control instances, and a function that closes the connections for them */
export function createControlRequestSender (options: ControlSenderOptions): { send: SendToControl, close: () => Promise<void> } {
  const { credential, authority, answerTimeoutMs } = options
  const agent = new Agent({
    headersTimeout: answerTimeoutMs,
    bodyTimeout: answerTimeoutMs,
    connect: { timeout: CONNECT_TIMEOUT_MS, ...(authority === null ? {} : { ca: authority }) }
  })
  const scheme = authority === null ? 'http' : 'https'
  const authorization = `Bearer ${credential}`

  const send: SendToControl = async (address, { method, path, body }) => {
    try {
      const response = await request(`${scheme}://${address}${path}`, {
        dispatcher: agent,
        method,
        headers: { authorization, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
        ...(body === undefined ? {} : { body })
      })
      return ok({ status: response.statusCode, body: parseBody(await response.body.text()) })
    } catch (error) {
      const { code, message } = error as Error & { code?: string }
      return err({ maybeSent: !NOT_SENT_ERROR_CODES.has(code ?? ''), message: code ?? message })
    }
  }

  return { send, close: async () => { await agent.close() } }
}

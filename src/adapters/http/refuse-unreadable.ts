import { STATUS_CODES } from 'node:http'
import type { Socket } from 'node:net'
import type { ResultName } from '../../types/result-code.js'
import { buildRefusal, resultCodes } from '../../types/result-code.js'

const resultByErrorCode = new Map<string, [ResultName, string]>([
  ['HPE_HEADER_OVERFLOW', ['headersTooLarge', 'the headers are larger than the server takes']],
  ['ERR_HTTP_REQUEST_TIMEOUT', ['requestIncomplete', 'the request did not arrive whole in time']]
])

/** Answers an incomplete or invalid HTTP request with a numbered result code and ends the connection. */
export function refuseUnreadable (error: Error & { code?: string }, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const [result, message]: [ResultName, string] = resultByErrorCode.get(error.code ?? '') ?? ['malformedRequest', `the request is not valid HTTP (${error.message})`]
  const refusal = buildRefusal(result, 'not-run', message)
  const { status, name } = resultCodes[result]
  const body = JSON.stringify({ code: refusal.code, name, outcome: refusal.outcome, message, retryAfterMs: null })
  socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
}

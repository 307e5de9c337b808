import type { FastifyInstance } from 'fastify'
import { formatJsonFault, parseJson } from '../../utils/parse-json.js'

const HTTP_BAD_REQUEST = 400

/** Replaces the parser for JSON bodies by a strict one. Its errors name the line of the fault and do not quote the body, which may contain secrets. */
export function addStrictJsonParser (app: FastifyInstance): void {
  app.removeContentTypeParser('application/json')
  app.addContentTypeParser('application/json', { parseAs: 'string' }, (_request, body, done) => {
    if (body === '') {
      done(null, undefined)
      return
    }
    const json = parseJson(String(body))
    if (json.isOk()) {
      done(null, json.value.value)
      return
    }
    done(Object.assign(new Error(formatJsonFault(json.error)), { statusCode: HTTP_BAD_REQUEST }))
  })
}

import type { FastifyInstance } from 'fastify'
import { formatJsonFault, parseJson } from '../../utils/parse-json.js'

const BAD_REQUEST = 400

/** Parses JSON bodies strictly, and refuses others with the line of the fault and without quoting the body. */
export function takeJsonBodies (app: FastifyInstance): void {
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
    done(Object.assign(new Error(formatJsonFault(json.error)), { statusCode: BAD_REQUEST }))
  })
}

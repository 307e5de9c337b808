import type { FastifyError, FastifyInstance, HTTPMethods } from 'fastify'
import type { LogEvent } from '../../types/log-event.js'
import { buildRefusal } from '../../types/result-code.js'
import { sendRefusal } from './send-outcome.js'

const METHODS: HTTPMethods[] = ['GET', 'POST', 'PUT', 'DELETE', 'PATCH']

/** Makes a server answer unknown paths, wrong methods, invalid bodies and unexpected errors with numbered result codes. */
export function refuseUnmatched (app: FastifyInstance, logEvent: LogEvent): void {
  app.setNotFoundHandler((request, reply) => {
    const path = request.url.split('?')[0] ?? ''
    const allowed = METHODS.filter((method) => app.findRoute({ method, url: path }) !== null || hasParameterizedRoute(app, method, path))
    if (allowed.length === 0) return sendRefusal(reply, buildRefusal('unknownPath', 'not-run', `there is no path ${path}`))
    reply.header('allow', allowed.join(', '))
    return sendRefusal(reply, buildRefusal('methodNotAllowed', 'not-run', `${path} takes ${allowed.join(', ')}`))
  })
  app.setErrorHandler((error: FastifyError, request, reply) => {
    if (error.code === 'FST_ERR_CTP_BODY_TOO_LARGE') return sendRefusal(reply, buildRefusal('bodyTooLarge', 'not-run', 'the body is larger than the limit'))
    if (error.statusCode !== undefined && error.statusCode < 500) return sendRefusal(reply, buildRefusal('malformedRequest', 'not-run', error.message))
    logEvent('requestFailed', { path: request.routeOptions.url ?? '', message: error.message })
    return sendRefusal(reply, buildRefusal('internalError', 'unknown', 'the instance failed while it handled the request'))
  })
}

/** @returns whether the path matches a route with parameters that accepts the method */
function hasParameterizedRoute (app: FastifyInstance, method: HTTPMethods, path: string): boolean {
  const patterns = [
    [/^\/v1\/transactions\/[^/]+\/(statements|commit|rollback)$/, (match: RegExpExecArray) => `/v1/transactions/:id/${match[1]}`],
    [/^\/v1\/routes\/[^/]+$/, () => '/v1/routes/:name']
  ] as const
  return patterns.some(([pattern, toUrl]) => {
    const match = pattern.exec(path)
    return match !== null && app.findRoute({ method, url: toUrl(match) }) !== null
  })
}

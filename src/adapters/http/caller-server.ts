import { readFileSync } from 'node:fs'
import { createServer as createPlainServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { fastify } from 'fastify'
import type { Result } from 'neverthrow'
import { afterNextRead } from '../sockets/after-next-read.js'
import type { CallerOperation, ServeCaller, CallerAnswer } from '../../types/caller-request.js'
import type { Announcement } from '../../types/database-status.js'
import type { LogEvent } from '../../types/log-event.js'
import type { Refusal } from '../../types/outcome.js'
import { buildRefusal } from '../../types/result-code.js'
import { transactionId } from '../../types/ids.js'
import { announcementSchema } from './announcement-schema.js'
import { createRequestGuard } from './guard-requests.js'
import { emptyBody, parseBody, parseCallerRequest, routeBody, statementBody, transactionStatementBody } from './parse-caller-request.js'
import { refuseUnmatched } from './refuse-unmatched.js'
import { refuseUnreadable } from './refuse-unreadable.js'
import { secretsMatch } from './secrets-match.js'
import { sendOutcome, sendRefusal } from './send-outcome.js'

export interface CallerServerOptions {
  host: string
  port: number
  tls: { keyFile: string, certificateFile: string } | null
  /** Maximum size of a request body in bytes. */
  bodyBytes: number
  /** Maximum number of headers of a request. */
  headerCount: number
  /** Time within which the headers, and also the whole request, have to arrive, in milliseconds. */
  headersMs: number
  /** Time after which the server closes an idle connection, in milliseconds. */
  idleConnectionMs: number
  /** Time within which a TLS handshake has to end, in milliseconds; default 5,000. */
  handshakeMs?: number
  /** Connections that the server accepts; default 1,000. */
  connections?: number
  /** Memory for the bodies of all requests in bytes; default 32 MiB. */
  bodyMemoryBytes?: number
  announcementSecret: string
  serve: ServeCaller
  /** @returns the session token that contains the position of a success; null: the answer carries no token */
  encodeSession: (answer: CallerAnswer) => string | null
  announce: (announcement: Announcement) => void
  logEvent: LogEvent
}

export interface CallerServer {
  readonly port: number
  /** Reloads the TLS key files; open connections stay open. */
  reloadTls: () => void
  /** Stops listening, lets requests in flight finish and ends idle connections. */
  close: () => Promise<void>
  /** Ends all connections at once, also those with requests in flight. */
  abort: () => Promise<void>
}

/** Interval between checks for overdue requests in milliseconds. With Node's default, an overdue request could stay open up to 30 s longer. */
const OVERDUE_CHECK_INTERVAL_MS = 1000

type ParsedOperation = Result<CallerOperation, Refusal>

function readKeyPair (tls: { keyFile: string, certificateFile: string }): { key: Buffer, cert: Buffer } {
  return { key: readFileSync(tls.keyFile), cert: readFileSync(tls.certificateFile) }
}

function createApp (options: CallerServerOptions): FastifyInstance {
  const { logEvent, tls, headersMs: headersTimeout, idleConnectionMs: keepAliveTimeout, handshakeMs = 5000, connections = 1000, bodyMemoryBytes = 32 * 1024 * 1024, bodyBytes } = options
  const guard = createRequestGuard({ connections, bodyMemoryBytes, bodyBytes, idleMs: Math.max(headersTimeout, keepAliveTimeout), onLimited: (cause, client) => { logEvent('clientLimited', { cause, client }) } })
  const serverOptions = { connectionsCheckingInterval: OVERDUE_CHECK_INTERVAL_MS, headersTimeout, requestTimeout: headersTimeout, keepAliveTimeout }

  function createServer (listener: RequestListener): Server {
    const guarded = guard.wrap(listener)
    const server = tls === null ? createPlainServer(serverOptions, guarded) : createTlsServer({ ...serverOptions, ...readKeyPair(tls), handshakeTimeout: handshakeMs }, guarded)
    server.on('clientError', refuseUnreadable)
    guard.watch(server)
    return server
  }

  const app = fastify({
    serverFactory: createServer,
    bodyLimit: options.bodyBytes,
    forceCloseConnections: 'idle',
    // Serves requests that arrive on an open connection during shutdown instead of refusing them.
    return503OnClosing: false,
    exposeHeadRoutes: false
  }) as FastifyInstance
  app.server.maxHeadersCount = options.headerCount
  return app
}

/**
 * Starts the HTTP server for callers, which also receives announcements of databases.
 * @throws Error when the server can't listen on the address
 */
export async function listenForCallers (options: CallerServerOptions): Promise<CallerServer> {
  const app = createApp(options)
  let isClosing = false

  // A connection kept alive after its last answer would delay the close until its idle time-out.
  app.addHook('onSend', async (_request, reply) => {
    if (isClosing) reply.header('connection', 'close')
  })

  async function serve (request: FastifyRequest, reply: FastifyReply, operation: ParsedOperation): Promise<FastifyReply> {
    if (operation.isErr()) return sendRefusal(reply, operation.error)
    const parsed = parseCallerRequest(request.headers, operation.value)
    if (parsed.isErr()) return sendRefusal(reply, parsed.error)
    const disconnection = new AbortController()
    request.raw.socket.once('close', abort)
    function abort (): void {
      disconnection.abort()
    }
    try {
      const answer = await options.serve(parsed.value, disconnection.signal)
      return sendOutcome(reply, answer.outcome, options.encodeSession(answer))
    } finally {
      request.raw.socket.off('close', abort)
    }
  }

  app.post('/v1/statements', async (request, reply) => {
    const operation = parseBody(statementBody, request.body).map((body): CallerOperation => ({ kind: 'statement', ...body }))
    return await serve(request, reply, operation)
  })
  app.post('/v1/transactions', async (request, reply) => {
    const operation = parseBody(emptyBody, request.body).map((): CallerOperation => ({ kind: 'begin' }))
    return await serve(request, reply, operation)
  })
  app.post<{ Params: { id: string } }>('/v1/transactions/:id/statements', async (request, reply) => {
    const transaction = transactionId(request.params.id)
    const operation = parseBody(transactionStatementBody, request.body).map((body): CallerOperation => ({ kind: 'transaction-statement', transaction, ...body }))
    return await serve(request, reply, operation)
  })
  app.post<{ Params: { id: string } }>('/v1/transactions/:id/commit', async (request, reply) => {
    const transaction = transactionId(request.params.id)
    return await serve(request, reply, parseBody(emptyBody, request.body).map((): CallerOperation => ({ kind: 'commit', transaction })))
  })
  app.post<{ Params: { id: string } }>('/v1/transactions/:id/rollback', async (request, reply) => {
    const transaction = transactionId(request.params.id)
    return await serve(request, reply, parseBody(emptyBody, request.body).map((): CallerOperation => ({ kind: 'rollback', transaction })))
  })
  app.route<{ Params: { name: string } }>({
    method: ['GET', 'POST'],
    url: '/v1/routes/:name',
    handler: async (request, reply) => {
      const { name } = request.params
      return await serve(request, reply, parseBody(routeBody, request.body).map(({ values }): CallerOperation => ({ kind: 'route', name, values })))
    }
  })
  app.post('/v1/announcements', async (request, reply) => {
    if (!secretsMatch(request.headers.authorization, options.announcementSecret)) {
      return sendRefusal(reply, buildRefusal('announcementRefused', 'not-run', 'the announcement secret is missing or wrong'))
    }
    const parsed = parseBody(announcementSchema, request.body)
    if (parsed.isErr()) return sendRefusal(reply, parsed.error)
    options.announce(parsed.value)
    return reply.code(204).send()
  })
  refuseUnmatched(app, options.logEvent)

  await app.listen({ host: options.host, port: options.port })
  const listening = app.server.address()
  return {
    port: typeof listening === 'object' && listening !== null ? listening.port : options.port,
    reloadTls: () => {
      if (options.tls !== null && 'setSecureContext' in app.server) (app.server as { setSecureContext: (pair: unknown) => void }).setSecureContext(readKeyPair(options.tls))
    },
    close: async () => {
      isClosing = true
      // Closing ends connections that are at rest as far as the server has read.
      await new Promise<void>(afterNextRead)
      await app.close()
    },
    abort: async () => {
      const closed = app.close()
      app.server.closeAllConnections()
      await closed
    }
  }
}

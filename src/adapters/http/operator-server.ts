import { readFileSync } from 'node:fs'
import { afterNextRead } from '../sockets/after-next-read.js'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { fastify } from 'fastify'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { LogEvent } from '../../types/log-event.js'
import type { CommitAnswer, ManifestAnswer, OperatorRefusal } from '../../types/operator-answer.js'
import type { OperatorReport, ReportName } from '../../types/operator-report.js'
import { buildRefusal, findResultCodeEntry } from '../../types/result-code.js'
import type { OperatorCredential } from './find-operator.js'
import { findOperator } from './find-operator.js'
import { addStrictJsonParser } from './add-strict-json-parser.js'
import { parseBody } from './parse-caller-request.js'
import { refuseUnmatched } from './refuse-unmatched.js'
import { sendRefusal } from './send-outcome.js'

/** Content security policy of the report page: its styles and drawings are inline, and it loads and runs nothing. */
const PAGE_POLICY = "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'; base-uri 'none'; form-action 'none'"

/** Handlers of the control instance for the requests of operators. */
export interface OperatorRequests {
  commit: (operator: string, base: number, document: unknown) => Promise<Result<CommitAnswer, OperatorRefusal>>
  manifest: () => Promise<Result<ManifestAnswer, OperatorRefusal>>
  report: (name: ReportName | 'status') => Promise<OperatorReport>
  /** @returns the burn report as one HTML page */
  page: () => Promise<string>
}

export interface OperatorServerOptions {
  host: string
  port: number
  tls: { keyFile: string, certificateFile: string } | null
  /** Maximum size of a request body in bytes. */
  manifestBytes: number
  operators: readonly OperatorCredential[]
  requests: OperatorRequests
  logEvent: LogEvent
}

export interface OperatorServer {
  readonly port: number
  /** Reloads the TLS key files; open connections stay open. */
  reloadTls: () => void
  /** Stops listening, lets requests in flight finish and ends idle connections. */
  close: () => Promise<void>
}

const commitBody = z.strictObject({
  base: z.int().min(0),
  manifest: z.unknown()
})

const reportNames: readonly ReportName[] = ['in-force', 'burn', 'workspaces', 'failure-domains', 'incidents']

function readKeyPair (tls: { keyFile: string, certificateFile: string }): { key: Buffer, cert: Buffer } {
  return { key: readFileSync(tls.keyFile), cert: readFileSync(tls.certificateFile) }
}

function sendResult<Answer> (reply: FastifyReply, answer: Result<Answer, OperatorRefusal>): FastifyReply {
  if (answer.isOk()) return reply.send(answer.value)
  const { code, outcome, message, retryAfterMs, leaderAddress, problems, conflict } = answer.error
  const { status, name } = findResultCodeEntry(code)
  return reply.code(status).send({ code, name, outcome, message, retryAfterMs, leaderAddress, problems, conflict })
}

/**
 * Starts the HTTP server for operators. Every path requires an operator credential.
 * @throws Error when the server can't listen on the address
 */
export async function listenForOperators (options: OperatorServerOptions): Promise<OperatorServer> {
  const { requests } = options
  const app = fastify({
    ...(options.tls === null ? {} : { https: readKeyPair(options.tls) }),
    bodyLimit: options.manifestBytes,
    forceCloseConnections: 'idle',
    exposeHeadRoutes: false
  }) as FastifyInstance
  addStrictJsonParser(app)
  const operators = new WeakMap<FastifyRequest, string>()

  // Runs before the server reads the body, so that only operators can make an instance read a large one.
  app.addHook('onRequest', async (request, reply) => {
    reply.header('cache-control', 'no-store')
    const operator = findOperator(request.headers.authorization, options.operators)
    if (operator === null) return sendRefusal(reply, buildRefusal('operatorRefused', 'not-run', 'the operator credential is missing or wrong'))
    operators.set(request, operator)
  })

  app.post('/v1/manifest', async (request, reply) => {
    const body = parseBody(commitBody, request.body)
    if (body.isErr()) return sendRefusal(reply, body.error)
    return sendResult(reply, await requests.commit(operators.get(request) ?? '', body.value.base, body.value.manifest))
  })
  app.get('/v1/manifest', async (_request, reply) => sendResult(reply, await requests.manifest()))
  app.get('/v1/status', async () => await requests.report('status'))
  for (const name of reportNames) app.get(`/v1/reports/${name}`, async () => await requests.report(name))
  app.get('/v1/reports/page', async (_request, reply) => {
    reply.header('content-security-policy', PAGE_POLICY)
    return await reply.type('text/html; charset=utf-8').send(await requests.page())
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
      // Closing ends connections that are at rest as far as the server has read.
      await new Promise<void>(afterNextRead)
      await app.close()
    }
  }
}

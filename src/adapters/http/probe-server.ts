import { fastify } from 'fastify'
import type { LogEvent } from '../../types/log-event.js'
import { refuseUnmatched } from './refuse-unmatched.js'

export interface ProbeServerOptions {
  host: string
  port: number
  /** @returns why the load balancer must not send callers to this instance; null when it may */
  notReadyReason: () => string | null
  renderMetrics: () => Promise<{ contentType: string, text: string }>
  logEvent: LogEvent
}

export interface ProbeServer {
  readonly port: number
  close: () => Promise<void>
}

/**
 * Starts the HTTP server for health, readiness and metrics.
 * @throws Error when the server can't listen on the address
 */
export async function listenForProbes (options: ProbeServerOptions): Promise<ProbeServer> {
  const app = fastify({ forceCloseConnections: true })
  app.get('/health', async () => ({ status: 'up' }))
  app.get('/ready', async (_request, reply) => {
    const reason = options.notReadyReason()
    return await reply.code(reason === null ? 200 : 503).send({ ready: reason === null, reason })
  })
  app.get('/metrics', async (_request, reply) => {
    const { contentType, text } = await options.renderMetrics()
    return await reply.type(contentType).send(text)
  })
  refuseUnmatched(app, options.logEvent)
  await app.listen({ host: options.host, port: options.port })
  const listening = app.server.address()
  return {
    port: typeof listening === 'object' && listening !== null ? listening.port : options.port,
    close: async () => { await app.close() }
  }
}

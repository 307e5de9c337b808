import { createClientConnection, type ClientConnection } from './client-connection.js'
import type { DatabaseCore } from './database-core.js'
import { REPLICATION_PARAMETER } from './replication-messages.js'
import { serveReplica } from './replication-sender.js'
import { sleep } from './sleep.js'
import { sqlStates, type SqlState } from './sql-error.js'
import { backendMessages, BodyReader, CANCEL_REQUEST, MessageFramer, PROTOCOL_VERSION, SSL_REQUEST, type FrontendMessage } from './wire-messages.js'
import type { Wire } from './wire.js'

/** Counts of the client connections of one stand-in. */
export interface ConnectionCounter {
  open: number
  /** Highest value of `open` so far. */
  highest: number
  /** Connections opened so far, the refused ones excluded. It also gives each new connection its number. */
  total: number
}

const reportedParameters = [
  ['server_version', '16.0'],
  ['client_encoding', 'UTF8'],
  ['server_encoding', 'UTF8'],
  ['standard_conforming_strings', 'on'],
  ['DateStyle', 'ISO, MDY'],
  ['integer_datetimes', 'on']
] as const

const SETTING_OPTION = /-c\s*([a-z_.]+)=(\S+)/gi

function readParameters (reader: BodyReader): Map<string, string> {
  const parameters = new Map<string, string>()
  for (let name = reader.text(); name !== '' && !reader.done; name = reader.text()) parameters.set(name, reader.text())
  return parameters
}

/** @returns the settings in the startup parameter `options`, where each has the form `-c name=value` */
function parseInitialSettings (parameters: ReadonlyMap<string, string>): Map<string, string> {
  const matches = (parameters.get('options') ?? '').matchAll(SETTING_OPTION)
  return new Map([...matches].map(([, name, value]) => [String(name).toLowerCase(), String(value)]))
}

/** Handles startup and authentication on a new connection, then serves it as a client connection or a replication link. */
export function serveConnection (core: DatabaseCore, wire: Wire, counter: ConnectionCounter): void {
  const framer = new MessageFramer()
  let client: ClientConnection | null = null
  let parameters: Map<string, string> | null = null
  let isCounted = false
  let hasEnded = false

  function refuseConnection (sqlState: SqlState, description: string): void {
    wire.send(backendMessages.error('FATAL', sqlState, description))
    wire.end()
  }

  function acceptClient (): void {
    client = createClientConnection(core, wire, counter.total, parseInitialSettings(parameters ?? new Map()))
    wire.send(Buffer.concat([
      backendMessages.authenticationOk(),
      ...reportedParameters.map(([name, value]) => backendMessages.parameterStatus(name, value)),
      backendMessages.backendKeyData(counter.total, 0),
      backendMessages.readyForQuery('I')
    ]))
  }

  async function startClient (): Promise<void> {
    framer.expectTypeBytes()
    if (counter.open >= core.options.connections) {
      refuseConnection(sqlStates.tooManyConnections, 'sorry, too many clients already')
      return
    }
    isCounted = true
    counter.open++
    counter.total++
    counter.highest = Math.max(counter.highest, counter.open)
    await sleep(core.options.connectCostMs)
    if (hasEnded) return
    if (core.options.password === null) acceptClient()
    else wire.send(backendMessages.cleartextPassword())
  }

  function handleStartup (message: FrontendMessage): void {
    const reader = new BodyReader(message.body)
    const code = reader.int32()
    if (code === SSL_REQUEST) {
      wire.send(Buffer.from('N'))
      return
    }
    if (code === CANCEL_REQUEST) {
      wire.destroy()
      return
    }
    if (code !== PROTOCOL_VERSION) {
      refuseConnection(sqlStates.protocolViolation, `protocol version ${code} is not supported`)
      return
    }
    parameters = readParameters(reader)
    if (parameters.get('replication') === REPLICATION_PARAMETER) serveReplica(core, wire, framer.drainRemainder())
    else startClient()
  }

  function handlePassword (message: FrontendMessage): void {
    const password = message.type === 'p' ? new BodyReader(message.body).text() : null
    if (password === core.options.password) acceptClient()
    else refuseConnection(sqlStates.invalidPassword, 'password authentication failed')
  }

  function handle (message: FrontendMessage): void {
    if (client !== null) client.receive(message)
    else if (parameters === null) handleStartup(message)
    else handlePassword(message)
  }

  wire.onReceive((bytes) => {
    framer.push(bytes)
    try {
      for (let message = framer.next(); message !== null; message = framer.next()) handle(message)
    } catch {
      // After an invalid message the start of the next one is unknown.
      wire.destroy()
    }
  })
  wire.onEnd(() => {
    hasEnded = true
    if (isCounted) counter.open--
    client?.end()
  })
}

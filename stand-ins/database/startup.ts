import { createClientConnection, type ClientConnection } from './client-connection.js'
import type { DatabaseCore } from './database-core.js'
import { REPLICATION_PARAMETER } from './replication-messages.js'
import { serveReplica } from './replication-sender.js'
import { sleep } from './sleep.js'
import { sqlStates, type SqlState } from './sql-error.js'
import { backendMessages, BodyReader, CANCEL_REQUEST, MessageFramer, PROTOCOL_VERSION, SSL_REQUEST, type FrontendMessage } from './wire-messages.js'
import type { Wire } from './wire.js'

/** Counts open client connections. */
export interface ConnectionCounter {
  open: number
  highest: number
  /** Connections ever opened; numbers them. */
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

const OPTION = /-c\s*([a-z_.]+)=(\S+)/gi

function readParameters (reader: BodyReader): Map<string, string> {
  const parameters = new Map<string, string>()
  for (let name = reader.text(); name !== '' && !reader.done; name = reader.text()) parameters.set(name, reader.text())
  return parameters
}

/** @returns settings given through the startup parameter `options` as `-c name=value` */
function initialSettings (parameters: ReadonlyMap<string, string>): Map<string, string> {
  const matches = (parameters.get('options') ?? '').matchAll(OPTION)
  return new Map([...matches].map(([, name, value]) => [String(name).toLowerCase(), String(value)]))
}

/** Takes a new socket through startup and authentication and serves it afterwards. */
export function serveConnection (core: DatabaseCore, wire: Wire, counter: ConnectionCounter): void {
  const framer = new MessageFramer()
  let client: ClientConnection | null = null
  let parameters: Map<string, string> | null = null
  let counted = false
  let ended = false

  function fail (sqlState: SqlState, description: string): void {
    wire.send(backendMessages.error('FATAL', sqlState, description))
    wire.end()
  }

  function accept (): void {
    client = createClientConnection(core, wire, counter.total, initialSettings(parameters ?? new Map()))
    wire.send(Buffer.concat([
      backendMessages.authenticationOk(),
      ...reportedParameters.map(([name, value]) => backendMessages.parameterStatus(name, value)),
      backendMessages.backendKeyData(counter.total, 0),
      backendMessages.readyForQuery('I')
    ]))
  }

  async function start (): Promise<void> {
    framer.expectTyped()
    if (counter.open >= core.options.connections) {
      fail(sqlStates.tooManyConnections, 'sorry, too many clients already')
      return
    }
    counted = true
    counter.open++
    counter.total++
    counter.highest = Math.max(counter.highest, counter.open)
    await sleep(core.options.connectCostMs)
    if (ended) return
    if (core.options.password === null) accept()
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
      fail(sqlStates.protocolViolation, `protocol version ${code} is not supported`)
      return
    }
    parameters = readParameters(reader)
    if (parameters.get('replication') === REPLICATION_PARAMETER) serveReplica(core, wire, framer.takeRest())
    else start()
  }

  function handlePassword (message: FrontendMessage): void {
    const given = message.type === 'p' ? new BodyReader(message.body).text() : null
    if (given === core.options.password) accept()
    else fail(sqlStates.invalidPassword, 'password authentication failed')
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
      // The stream can't be framed any more.
      wire.destroy()
    }
  })
  wire.onEnd(() => {
    ended = true
    if (counted) counter.open--
    client?.end()
  })
}

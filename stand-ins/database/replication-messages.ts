import type { LogEntry, TermEnd } from './log-state.js'
import { PROTOCOL_VERSION } from './wire-messages.js'

/** Value of the startup parameter `replication` that turns a connection into a replication link. */
export const REPLICATION_PARAMETER = 'catkinrelay'

/** The link carries JSON lines after the startup message; this is the stand-in's own protocol. */
export type ReplicaMessage =
  | { kind: 'join', term: number, termEnds: TermEnd[] }
  /** Asks for the position; the answer proves that the replica held everything up to `sentAt`. */
  | { kind: 'ping', sentAt: number }

export type PrimaryMessage =
  | { kind: 'aligned', term: number, offset: number }
  | { kind: 'entries', term: number, entries: readonly LogEntry[] }
  | { kind: 'pong', term: number, sentAt: number }

export const encodeLine = (message: ReplicaMessage | PrimaryMessage): Buffer => Buffer.from(`${JSON.stringify(message)}\n`)

/** @returns a function that takes bytes and passes on each complete message */
export function createLineReader<Message> (onMessage: (message: Message) => void): (bytes: Buffer) => void {
  let pending = ''
  const decoder = new TextDecoder()
  return (bytes) => {
    pending += decoder.decode(bytes, { stream: true })
    const lines = pending.split('\n')
    pending = lines.pop() ?? ''
    for (const line of lines) onMessage(JSON.parse(line) as Message)
  }
}

/** @returns the startup message of a replication link */
export function replicationStartup (): Buffer {
  const parameters = Buffer.from(`user\0stand-in\0replication\0${REPLICATION_PARAMETER}\0\0`)
  const head = Buffer.alloc(8)
  head.writeInt32BE(head.length + parameters.length)
  head.writeInt32BE(PROTOCOL_VERSION, 4)
  return Buffer.concat([head, parameters])
}

import type { LogEntry, TermEnd } from './log-state.js'
import { PROTOCOL_VERSION } from './wire-messages.js'

/** Value of the startup parameter `replication` that makes a connection a replication link. */
export const REPLICATION_PARAMETER = 'catkinrelay'

/** Message from a replica to its primary. After the startup message a link carries JSON lines, a protocol that only the stand-ins use. */
export type ReplicaMessage =
  /** Describes the replica's log to the primary of the term that the replica follows. */
  | { kind: 'join', term: number, termEnds: TermEnd[] }
  /** Requests a pong. When it arrives, the replica holds everything that the primary had committed at `sentAt`, a time of the replica's clock. */
  | { kind: 'ping', sentAt: number }

/** Message from a primary to a replica. */
export type PrimaryMessage =
  /** Tells the replica to discard its entries after `offset`. */
  | { kind: 'aligned', term: number, offset: number }
  | { kind: 'entries', term: number, entries: readonly LogEntry[] }
  | { kind: 'pong', term: number, sentAt: number }

export const encodeLine = (message: ReplicaMessage | PrimaryMessage): Buffer => Buffer.from(`${JSON.stringify(message)}\n`)

/** @returns a function that collects received bytes and passes each complete message to `onMessage` */
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
export function encodeReplicationStartup (): Buffer {
  const parameters = Buffer.from(`user\0stand-in\0replication\0${REPLICATION_PARAMETER}\0\0`)
  const head = Buffer.alloc(8)
  head.writeInt32BE(head.length + parameters.length)
  head.writeInt32BE(PROTOCOL_VERSION, 4)
  return Buffer.concat([head, parameters])
}

import type { DatabaseCore } from './database-core.js'
import { findCommonOffset, type TermEnd } from './log-state.js'
import { createLineReader, encodeLine, type ReplicaMessage } from './replication-messages.js'
import type { Wire } from './wire.js'

/** Most entries in one message, which bounds the length of a line. */
const ENTRIES_PER_MESSAGE = 500

/**
 * Sends the log to one replica until the link ends or this database is no longer primary of the term that the replica follows.
 * @param firstBytes - bytes that arrived in the same packet as the startup message
 */
export function serveReplica (core: DatabaseCore, wire: Wire, firstBytes: Buffer): void {
  let linkTerm: number | null = null
  let sentOffset = 0
  let isSendScheduled = false

  const isPrimaryOf = (term: number): boolean => core.log.role() === 'primary' && core.log.term() === term

  function sendNewEntries (): void {
    isSendScheduled = false
    if (linkTerm === null) return
    if (!isPrimaryOf(linkTerm)) {
      wire.destroy()
      return
    }
    let entries = core.log.entriesAfter(sentOffset, ENTRIES_PER_MESSAGE)
    while (entries.length > 0) {
      wire.send(encodeLine({ kind: 'entries', term: linkTerm, entries }))
      sentOffset += entries.length
      entries = core.log.entriesAfter(sentOffset, ENTRIES_PER_MESSAGE)
    }
  }

  function scheduleSend (): void {
    if (isSendScheduled) return
    isSendScheduled = true
    // Sends all entries of one turn of the event loop together.
    setImmediate(sendNewEntries)
  }

  function handleJoin (term: number, termEnds: TermEnd[]): void {
    if (!isPrimaryOf(term)) {
      wire.end()
      return
    }
    linkTerm = term
    sentOffset = findCommonOffset(core.log.termEnds(), termEnds)
    wire.send(encodeLine({ kind: 'aligned', term, offset: sentOffset }))
    sendNewEntries()
  }

  function handlePing (sentAt: number): void {
    // Another primary may have been promoted after the fence, so a fenced primary no longer confirms that data are current.
    if (linkTerm === null || core.log.fencedTerm() > linkTerm) return
    sendNewEntries()
    wire.send(encodeLine({ kind: 'pong', term: linkTerm, sentAt }))
  }

  const readMessages = createLineReader<ReplicaMessage>((message) => {
    if (message.kind === 'join') handleJoin(message.term, message.termEnds)
    else handlePing(message.sentAt)
  })
  const stopListening = core.onChange(scheduleSend)
  wire.onEnd(() => {
    linkTerm = null
    stopListening()
  })
  wire.onReceive(readMessages)
  readMessages(firstBytes)
}

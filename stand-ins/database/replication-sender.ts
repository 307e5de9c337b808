import type { DatabaseCore } from './database-core.js'
import { commonOffset, type TermEnd } from './log-state.js'
import { createLineReader, encodeLine, type ReplicaMessage } from './replication-messages.js'
import type { Wire } from './wire.js'

/** Entries of one message; bounds the length of a line. */
const ENTRIES_PER_MESSAGE = 500

/**
 * Serves one replica until the link ends or this database is no longer primary of the term that the replica follows.
 * @param firstBytes - bytes that arrived together with the startup message
 */
export function serveReplica (core: DatabaseCore, wire: Wire, firstBytes: Buffer): void {
  let linkTerm: number | null = null
  let sentOffset = 0
  let scheduled = false

  const isPrimaryOf = (term: number): boolean => core.log.role() === 'primary' && core.log.term() === term

  function sendPending (): void {
    scheduled = false
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

  function schedule (): void {
    if (scheduled) return
    scheduled = true
    // Entries of one turn of the event loop go out together.
    setImmediate(sendPending)
  }

  function join (term: number, termEnds: TermEnd[]): void {
    if (!isPrimaryOf(term)) {
      wire.end()
      return
    }
    linkTerm = term
    sentOffset = commonOffset(core.log.termEnds(), termEnds)
    wire.send(encodeLine({ kind: 'aligned', term, offset: sentOffset }))
    sendPending()
  }

  function answerPing (sentAt: number): void {
    // A fenced primary may have been replaced, so it no longer vouches for fresh data.
    if (linkTerm === null || core.log.fencedTerm() > linkTerm) return
    sendPending()
    wire.send(encodeLine({ kind: 'pong', term: linkTerm, sentAt }))
  }

  const read = createLineReader<ReplicaMessage>((message) => {
    if (message.kind === 'join') join(message.term, message.termEnds)
    else answerPing(message.sentAt)
  })
  const stopListening = core.onChange(schedule)
  wire.onEnd(() => {
    linkTerm = null
    stopListening()
  })
  wire.onReceive(read)
  read(firstBytes)
}

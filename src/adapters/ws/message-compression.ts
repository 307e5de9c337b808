import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { COMPRESSED_MARKER, messageCodec } from './message-codec.js'

/** Version of the dictionary. Both ends of a channel must use the same one, so a change of the dictionary needs a new number. */
export const COMPRESSION_VERSION = 1

/** Size in bytes below which a message is not compressed: its headers on the network are larger. */
const MIN_COMPRESSED_BYTES = 48
/** Size in bytes above which a message is not compressed, since compression would block the event loop for milliseconds. */
const MAX_COMPRESSED_BYTES = 64 * 1024
/** A window of 4 KiB covers a message and the dictionary, and takes a fraction of the default memory of each call. */
const WINDOW_BITS = 12
const MEMORY_LEVEL = 4
/** The fastest level. Higher ones gain little on short messages. */
const LEVEL = 1

/** Calls between entry instances with typical field names and values, the most frequent ones last. */
const DICTIONARY_MESSAGES: readonly unknown[] = [
  { kind: 'call-answer', call: 1, now: 1, body: { kind: 'reply', reply: { rows: [], outcome: { kind: 'error', error: 'lagging', message: 'LAGGING' }, state: 'failed', position: null } } },
  { kind: 'call-answer', call: 1, now: 1, body: { kind: 'not-run', cause: 'no-connection' } },
  { kind: 'call-answer', call: 1, now: 1, body: { kind: 'token', refusal: { result: 'rateExceeded', promise: 'nothing-kept', message: 'The workspace has used its rate and burst.', retryAfterMs: 1 } } },
  { kind: 'end-loan', loan: 1, keep: true },
  { kind: 'call', call: 1, body: { kind: 'run-borrowed', loan: 1, terms: null, after: null, values: { owner: '', version: 1, changes: [{ name: '', value: '' }] }, limitMs: 1, sendBy: 1, id: null, statement: { kind: 'begin', readOnly: false }, definition: null, isLast: false, next: { id: '', statement: { kind: 'run', access: 'read', text: '' }, definition: null } } },
  { kind: 'call', call: 1, body: { kind: 'run-borrowed', loan: 1, terms: null, after: null, values: null, limitMs: 1, sendBy: 1, id: '', statement: { kind: 'commit' }, definition: null, isLast: true } },
  { kind: 'call', call: 1, body: { kind: 'run-borrowed', loan: 1, terms: null, after: null, values: null, limitMs: 1, sendBy: 1, id: '', statement: { kind: 'execute', name: 's1', item: '', data: null }, definition: { access: 'write', shape: '' }, isLast: false } },
  { kind: 'call', call: 1, body: { kind: 'ask-token', workspace: '', limitMs: 150 } },
  { kind: 'call-answer', call: 1, now: 1, body: { kind: 'token', refusal: null } },
  { kind: 'call', call: 1, body: { kind: 'run-borrowed', loan: 1, terms: { database: 'i-', workspace: '', priority: 1, waitMs: 1 }, after: { term: 1, offset: 1 }, values: null, limitMs: 1, sendBy: 1, id: '', statement: { kind: 'run', access: 'write', text: 'WRITE ' }, definition: null, isLast: true } },
  { kind: 'call-answer', call: 1, now: 1, body: { kind: 'reply', reply: { rows: [''], outcome: { kind: 'done', proof: '' }, state: 'transaction', position: { term: 1, offset: 1 }, holderTiming: { connectionMs: 0, databaseMs: 1 } } } },
  { kind: 'call', call: 1, body: { kind: 'run-borrowed', loan: 1, terms: { database: 'i-', workspace: '', priority: 1, waitMs: 1 }, after: { term: 1, offset: 1 }, values: null, limitMs: 1, sendBy: 1, id: '', statement: { kind: 'run', access: 'read', text: 'READ ' }, definition: null, isLast: true } },
  { kind: 'call-answer', call: 1, now: 1, body: { kind: 'reply', reply: { rows: [''], outcome: { kind: 'done', proof: '' }, state: 'idle', position: { term: 1, offset: 1 }, holderTiming: { connectionMs: 0, databaseMs: 1 } } } }
]

/** Text that both ends know, to which compressed messages refer. Exported for the test that pins it to its version. */
export const compressionDictionary = Buffer.concat(DICTIONARY_MESSAGES.map((message) => messageCodec.pack(message)))

/** @returns the encoded message, compressed where that makes it smaller */
export function compressMessage (data: Buffer): Buffer {
  if (data.length < MIN_COMPRESSED_BYTES || data.length > MAX_COMPRESSED_BYTES) return data
  const compressed = deflateRawSync(data, { level: LEVEL, windowBits: WINDOW_BITS, memLevel: MEMORY_LEVEL, dictionary: compressionDictionary })
  return compressed.length + 1 < data.length ? Buffer.concat([Buffer.of(COMPRESSED_MARKER), compressed]) : data
}

/**
 * Reverses `compressMessage`.
 * @throws Error when the data is damaged or longer than any compressed message
 */
export function decompressMessage (data: Buffer): Buffer {
  if (data[0] !== COMPRESSED_MARKER) return data
  return inflateRawSync(data.subarray(1), { windowBits: WINDOW_BITS, dictionary: compressionDictionary, maxOutputLength: MAX_COMPRESSED_BYTES })
}

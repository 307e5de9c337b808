import type { SqlState } from './sql-error.js'

/** Version 3.0 of the PostgreSQL protocol. */
export const PROTOCOL_VERSION = 196_608
/** Codes that stand in place of the protocol version when a startup message requests TLS or the cancellation of a statement. */
export const SSL_REQUEST = 80_877_103
export const CANCEL_REQUEST = 80_877_102
/** Largest message that the stand-in accepts; a greater length indicates a framing error. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024
const INT32_BYTES = 4

/** Message from a client. */
export interface FrontendMessage {
  /** Type byte as a character; empty for startup messages, which have none. */
  type: string
  body: Buffer
}

/** Splits a client's byte stream into messages. Startup messages come first and have no type byte; all later messages have one. */
export class MessageFramer {
  private pending: Buffer = Buffer.alloc(0)
  private isUntyped = true

  /** Marks the end of the startup messages: every message after this call begins with a type byte. */
  expectTypeBytes (): void {
    this.isUntyped = false
  }

  push (bytes: Buffer): void {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes])
  }

  /** @returns the next complete message, or null when its bytes have not all arrived. @throws RangeError for an invalid length */
  next (): FrontendMessage | null {
    const typeBytes = this.isUntyped ? 0 : 1
    if (this.pending.length < typeBytes + INT32_BYTES) return null
    const length = this.pending.readInt32BE(typeBytes)
    if (length < INT32_BYTES || length > MAX_MESSAGE_BYTES) throw new RangeError(`message length ${length} is out of range`)
    const end = typeBytes + length
    if (this.pending.length < end) return null
    const type = this.isUntyped ? '' : String.fromCharCode(this.pending.readUInt8(0))
    const body = this.pending.subarray(typeBytes + INT32_BYTES, end)
    this.pending = this.pending.subarray(end)
    return { type, body }
  }

  /** Removes and returns the bytes after the last message. */
  drainRemainder (): Buffer {
    const rest = this.pending
    this.pending = Buffer.alloc(0)
    return rest
  }
}

/** Reads the fields of a message body in order. Integers and strings throw RangeError when the body ends too early; `bytes` returns what is left. */
export class BodyReader {
  private offset = 0

  constructor (private readonly body: Buffer) {}

  get done (): boolean { return this.offset >= this.body.length }

  int16 (): number {
    this.offset += 2
    return this.body.readInt16BE(this.offset - 2)
  }

  int32 (): number {
    this.offset += INT32_BYTES
    return this.body.readInt32BE(this.offset - INT32_BYTES)
  }

  text (): string {
    const end = this.body.indexOf(0, this.offset)
    if (end < 0) throw new RangeError('a string of the message is not terminated')
    const value = this.body.toString('utf8', this.offset, end)
    this.offset = end + 1
    return value
  }

  bytes (length: number): Buffer {
    this.offset += length
    return this.body.subarray(this.offset - length, this.offset)
  }
}

const encodeInt16 = (value: number): Buffer => {
  const bytes = Buffer.alloc(2)
  bytes.writeInt16BE(value)
  return bytes
}

const encodeInt32 = (value: number): Buffer => {
  const bytes = Buffer.alloc(INT32_BYTES)
  bytes.writeInt32BE(value)
  return bytes
}

const encodeText = (value: string): Buffer => Buffer.from(`${value}\0`)

function encodeMessage (type: string, ...parts: Buffer[]): Buffer {
  const body = Buffer.concat(parts)
  return Buffer.concat([Buffer.from(type), encodeInt32(body.length + INT32_BYTES), body])
}

/** A result column; `oid` is the type's id in PostgreSQL's catalog. */
export interface Column {
  name: string
  oid: number
}

const encodeErrorField = (code: string, value: string): Buffer => Buffer.concat([Buffer.from(code), encodeText(value)])
const encodeColumn = ({ name, oid }: Column): Buffer => Buffer.concat([encodeText(name), encodeInt32(0), encodeInt16(0), encodeInt32(oid), encodeInt16(-1), encodeInt32(-1), encodeInt16(0)])
const encodeCell = (value: string | null): Buffer => value === null ? encodeInt32(-1) : Buffer.concat([encodeInt32(Buffer.byteLength(value)), Buffer.from(value)])

/** Encoders of the messages to a client. */
export const backendMessages = {
  authenticationOk: (): Buffer => encodeMessage('R', encodeInt32(0)),
  cleartextPassword: (): Buffer => encodeMessage('R', encodeInt32(3)),
  parameterStatus: (name: string, value: string): Buffer => encodeMessage('S', encodeText(name), encodeText(value)),
  backendKeyData: (processId: number, secret: number): Buffer => encodeMessage('K', encodeInt32(processId), encodeInt32(secret)),
  readyForQuery: (status: 'I' | 'T' | 'E'): Buffer => encodeMessage('Z', Buffer.from(status)),
  parseComplete: (): Buffer => encodeMessage('1'),
  bindComplete: (): Buffer => encodeMessage('2'),
  closeComplete: (): Buffer => encodeMessage('3'),
  noData: (): Buffer => encodeMessage('n'),
  emptyQuery: (): Buffer => encodeMessage('I'),
  parameterDescription: (oids: number[]): Buffer => encodeMessage('t', encodeInt16(oids.length), ...oids.map(encodeInt32)),
  rowDescription: (columns: Column[]): Buffer => encodeMessage('T', encodeInt16(columns.length), ...columns.map(encodeColumn)),
  dataRow: (values: (string | null)[]): Buffer => encodeMessage('D', encodeInt16(values.length), ...values.map(encodeCell)),
  commandComplete: (tag: string): Buffer => encodeMessage('C', encodeText(tag)),
  error: (severity: 'ERROR' | 'FATAL', sqlState: SqlState, description: string): Buffer =>
    encodeMessage('E', encodeErrorField('S', severity), encodeErrorField('V', severity), encodeErrorField('C', sqlState), encodeErrorField('M', description), Buffer.from([0]))
}

import type { SqlState } from './sql-error.js'

/** Version 3.0 of the protocol. */
export const PROTOCOL_VERSION = 196_608
export const SSL_REQUEST = 80_877_103
export const CANCEL_REQUEST = 80_877_102
/** The stand-in refuses messages above this size in bytes; they point to a framing error. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024
const INTEGER_BYTES = 4

export interface FrontendMessage {
  /** Type byte as a character; empty for the messages before authentication. */
  type: string
  body: Buffer
}

/** Cuts a byte stream into messages. Messages before authentication have no type byte. */
export class MessageFramer {
  private pending: Buffer = Buffer.alloc(0)
  private untyped = true

  /** Messages from now on begin with a type byte. */
  expectTyped (): void {
    this.untyped = false
  }

  push (bytes: Buffer): void {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes])
  }

  /** @returns the next whole message, or null when more bytes are needed */
  next (): FrontendMessage | null {
    const typeBytes = this.untyped ? 0 : 1
    if (this.pending.length < typeBytes + INTEGER_BYTES) return null
    const length = this.pending.readInt32BE(typeBytes)
    if (length < INTEGER_BYTES || length > MAX_MESSAGE_BYTES) throw new RangeError(`message length ${length} is out of range`)
    const end = typeBytes + length
    if (this.pending.length < end) return null
    const type = this.untyped ? '' : String.fromCharCode(this.pending.readUInt8(0))
    const body = this.pending.subarray(typeBytes + INTEGER_BYTES, end)
    this.pending = this.pending.subarray(end)
    return { type, body }
  }

  /** @returns bytes that were not consumed as messages */
  takeRest (): Buffer {
    const rest = this.pending
    this.pending = Buffer.alloc(0)
    return rest
  }
}

/** Reads the fields of a message body in order. */
export class BodyReader {
  private offset = 0

  constructor (private readonly body: Buffer) {}

  get done (): boolean { return this.offset >= this.body.length }

  int16 (): number {
    this.offset += 2
    return this.body.readInt16BE(this.offset - 2)
  }

  int32 (): number {
    this.offset += INTEGER_BYTES
    return this.body.readInt32BE(this.offset - INTEGER_BYTES)
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

const int16 = (value: number): Buffer => {
  const bytes = Buffer.alloc(2)
  bytes.writeInt16BE(value)
  return bytes
}

const int32 = (value: number): Buffer => {
  const bytes = Buffer.alloc(INTEGER_BYTES)
  bytes.writeInt32BE(value)
  return bytes
}

const text = (value: string): Buffer => Buffer.from(`${value}\0`)

function message (type: string, ...parts: Buffer[]): Buffer {
  const body = Buffer.concat(parts)
  return Buffer.concat([Buffer.from(type), int32(body.length + INTEGER_BYTES), body])
}

/** A result column; `oid` is the type id of PostgreSQL's catalog. */
export interface Column {
  name: string
  oid: number
}

const errorField = (code: string, value: string): Buffer => Buffer.concat([Buffer.from(code), text(value)])
const columnDescription = ({ name, oid }: Column): Buffer => Buffer.concat([text(name), int32(0), int16(0), int32(oid), int16(-1), int32(-1), int16(0)])
const cell = (value: string | null): Buffer => value === null ? int32(-1) : Buffer.concat([int32(Buffer.byteLength(value)), Buffer.from(value)])

/** Messages of the server side. */
export const backendMessages = {
  authenticationOk: (): Buffer => message('R', int32(0)),
  cleartextPassword: (): Buffer => message('R', int32(3)),
  parameterStatus: (name: string, value: string): Buffer => message('S', text(name), text(value)),
  backendKeyData: (processId: number, secret: number): Buffer => message('K', int32(processId), int32(secret)),
  readyForQuery: (status: 'I' | 'T' | 'E'): Buffer => message('Z', Buffer.from(status)),
  parseComplete: (): Buffer => message('1'),
  bindComplete: (): Buffer => message('2'),
  closeComplete: (): Buffer => message('3'),
  noData: (): Buffer => message('n'),
  emptyQuery: (): Buffer => message('I'),
  parameterDescription: (oids: number[]): Buffer => message('t', int16(oids.length), ...oids.map(int32)),
  rowDescription: (columns: Column[]): Buffer => message('T', int16(columns.length), ...columns.map(columnDescription)),
  dataRow: (values: (string | null)[]): Buffer => message('D', int16(values.length), ...values.map(cell)),
  commandComplete: (tag: string): Buffer => message('C', text(tag)),
  error: (severity: 'ERROR' | 'FATAL', sqlState: SqlState, description: string): Buffer =>
    message('E', errorField('S', severity), errorField('V', severity), errorField('C', sqlState), errorField('M', description), Buffer.from([0]))
}

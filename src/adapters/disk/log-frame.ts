import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr'

/** Bytes before the data of a frame: its length and the CRC-32 of length and data, both big-endian. */
const HEADER_BYTES = 8
const LENGTH_BYTES = 4

const packr = new Packr({ useRecords: false })

/**
 * @param value - plain data
 * @returns a log record: length, CRC-32 and msgpackr data
 */
export function encodeFrame (value: unknown): Buffer {
  const data = packr.pack(value)
  const frame = Buffer.alloc(HEADER_BYTES + data.length)
  frame.writeUInt32BE(data.length, 0)
  data.copy(frame, HEADER_BYTES)
  frame.writeUInt32BE(checksum(frame, 0, data.length), LENGTH_BYTES)
  return frame
}

// The length is covered too, so that zeroed blocks do not pass for empty records.
function checksum (bytes: Buffer, offset: number, length: number): number {
  const lengthChecksum = crc32(bytes.subarray(offset, offset + LENGTH_BYTES))
  const start = offset + HEADER_BYTES
  return crc32(bytes.subarray(start, start + length), lengthChecksum)
}

/** @returns the end of the valid frame at `offset`, or null when there is none */
function frameEnd (bytes: Buffer, offset: number): number | null {
  if (offset + HEADER_BYTES > bytes.length) return null
  const length = bytes.readUInt32BE(offset)
  const end = offset + HEADER_BYTES + length
  if (length === 0 || end > bytes.length) return null
  return bytes.readUInt32BE(offset + LENGTH_BYTES) === checksum(bytes, offset, length) ? end : null
}

export interface DecodedFrames {
  /** Data of all valid frames. */
  values: unknown[]
  /** Bytes of all valid frames. */
  validBytes: number
  /**
   * - `torn`: the last frame is incomplete; it was never synced
   * - `damaged`: a valid frame follows an invalid one, so the invalid one was synced before
   */
  end: 'whole' | 'torn' | 'damaged'
}

/** Reads frames up to the first invalid one. One frame is written and synced at a time, so only the last can be torn. */
export function decodeFrames (bytes: Buffer): DecodedFrames {
  const values: unknown[] = []
  let offset = 0
  while (offset < bytes.length) {
    const end = frameEnd(bytes, offset)
    if (end === null) return { values, validBytes: offset, end: holdsFrameAfter(bytes, offset) ? 'damaged' : 'torn' }
    values.push(packr.unpack(bytes.subarray(offset + HEADER_BYTES, end)))
    offset = end
  }
  return { values, validBytes: offset, end: 'whole' }
}

// The damaged length can't be trusted, so every later offset is tried.
function holdsFrameAfter (bytes: Buffer, invalidOffset: number): boolean {
  for (let offset = invalidOffset + 1; offset + HEADER_BYTES < bytes.length; offset++) {
    if (frameEnd(bytes, offset) !== null) return true
  }
  return false
}

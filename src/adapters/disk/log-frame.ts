import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr'

/** Bytes before the data of a frame: its length and the CRC-32 of length and data, both big-endian. */
const HEADER_BYTES = 8
const LENGTH_BYTES = 4

const packr = new Packr({ useRecords: false })

/**
 * Encodes a log record or a snapshot.
 * @param value - plain data
 * @returns a frame: length, CRC-32 and msgpackr data
 */
export function encodeFrame (value: unknown): Buffer {
  const data = packr.pack(value)
  const frame = Buffer.alloc(HEADER_BYTES + data.length)
  frame.writeUInt32BE(data.length, 0)
  data.copy(frame, HEADER_BYTES)
  frame.writeUInt32BE(computeChecksum(frame, 0, data.length), LENGTH_BYTES)
  return frame
}

// The checksum covers the length too; otherwise zeroed blocks would be valid empty records.
function computeChecksum (bytes: Buffer, offset: number, length: number): number {
  const lengthChecksum = crc32(bytes.subarray(offset, offset + LENGTH_BYTES))
  const start = offset + HEADER_BYTES
  return crc32(bytes.subarray(start, start + length), lengthChecksum)
}

/** @returns the end of the valid frame at `offset`, or null when there is none */
function findFrameEnd (bytes: Buffer, offset: number): number | null {
  if (offset + HEADER_BYTES > bytes.length) return null
  const length = bytes.readUInt32BE(offset)
  const end = offset + HEADER_BYTES + length
  if (length === 0 || end > bytes.length) return null
  return bytes.readUInt32BE(offset + LENGTH_BYTES) === computeChecksum(bytes, offset, length) ? end : null
}

export interface DecodedFrames {
  /** Data of all valid frames. */
  values: unknown[]
  /** Bytes of all valid frames. */
  validBytes: number
  /**
   * - `torn`: the last frame is incomplete; it was never synced
   * - `damaged`: a valid frame follows the invalid one, so the invalid one had been synced and was damaged later
   */
  end: 'whole' | 'torn' | 'damaged'
}

/** Decodes frames up to the first invalid one. Storage writes and syncs one frame at a time, so a crash can tear only the last one. */
export function decodeFrames (bytes: Buffer): DecodedFrames {
  const values: unknown[] = []
  let offset = 0
  while (offset < bytes.length) {
    const end = findFrameEnd(bytes, offset)
    if (end === null) return { values, validBytes: offset, end: hasValidFrameAfter(bytes, offset) ? 'damaged' : 'torn' }
    values.push(packr.unpack(bytes.subarray(offset + HEADER_BYTES, end)))
    offset = end
  }
  return { values, validBytes: offset, end: 'whole' }
}

// The length of the invalid frame may itself be wrong, so a valid frame is searched at every later offset.
function hasValidFrameAfter (bytes: Buffer, invalidOffset: number): boolean {
  for (let offset = invalidOffset + 1; offset + HEADER_BYTES < bytes.length; offset++) {
    if (findFrameEnd(bytes, offset) !== null) return true
  }
  return false
}

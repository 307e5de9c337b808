import { FLOAT32_OPTIONS, Packr } from 'msgpackr'

/** Codec of all messages between the processes of a deployment. */
export const messageCodec = new Packr({ useRecords: false, useFloat32: FLOAT32_OPTIONS.DECIMAL_FIT, int64AsType: 'number' })

/** First byte of a compressed message; the codec never begins a message with it. */
export const COMPRESSED_MARKER = 0xc1

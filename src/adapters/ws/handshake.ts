import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import type { WebSocket } from 'ws'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { Inbox } from './inbox.js'
import type { Hello } from './message-channel.js'
import { messageCodec } from './message-codec.js'
import { COMPRESSION_VERSION } from './message-compression.js'

/** Time to wait for each message of the handshake in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 2000
const NONCE_BYTES = 16

/** `compression`: version of the dictionary that the client offers to use; missing when it offers none. */
interface ClientProof { hello: Hello, nonce: Buffer, proof: Buffer, compression?: number }
/** `now`: reading of the server's clock, where the server reads one. `compression`: accepted version of the dictionary. */
interface ServerProof { proof: Buffer, now?: Milliseconds | undefined, compression?: number }

/** What the server learnt of its client. */
export interface AcceptedClient {
  hello: Hello
  /** Whether both ends compress single messages. */
  isCompressed: boolean
}

/** What the client learnt of its server. */
export interface OfferedServer {
  /** The server's clock reading; null when the server sent none. */
  peerTime: Milliseconds | null
  /** Whether both ends compress single messages. */
  isCompressed: boolean
}

function computeProof (secret: string, side: 'client' | 'server', serverNonce: Buffer, clientNonce: Buffer, hello: Hello): Buffer {
  const hmac = createHmac('sha256', secret)
  hmac.update(messageCodec.pack([side, serverNonce, clientNonce, hello.purpose, hello.name, hello.address]))
  return hmac.digest()
}

function isEqual (left: unknown, right: Buffer): boolean {
  return Buffer.isBuffer(left) && left.length === right.length && timingSafeEqual(left, right)
}

/**
 * Runs the server side of the handshake, in which each side proves that it knows the cluster secret without sending it.
 * @param clock - clock whose reading is sent to the client; null: none is sent
 * @returns the client's description of itself, and whether messages are compressed as it offered
 * @throws Error when the client does not know the secret or the connection ends
 */
export async function acceptHandshake (socket: WebSocket, inbox: Inbox, secret: string, clock: Clock | null): Promise<AcceptedClient> {
  const serverNonce = randomBytes(NONCE_BYTES)
  socket.send(messageCodec.pack(serverNonce))
  const { hello, nonce, proof, compression } = messageCodec.unpack(await inbox.next(HANDSHAKE_TIMEOUT_MS)) as ClientProof
  if (!isEqual(proof, computeProof(secret, 'client', serverNonce, nonce, hello))) throw new Error('the peer does not know the cluster secret')
  const isCompressed = compression === COMPRESSION_VERSION
  const answer: ServerProof = { proof: computeProof(secret, 'server', serverNonce, nonce, hello), now: clock?.now(), ...(isCompressed ? { compression } : {}) }
  socket.send(messageCodec.pack(answer))
  return { hello, isCompressed }
}

/**
 * Runs the client side of the handshake.
 * @param offersCompression - whether this side wants single messages to be compressed
 * @returns the server's clock reading, and whether it accepted the compression
 * @throws Error when the server does not know the secret or the connection ends
 */
export async function offerHandshake (socket: WebSocket, inbox: Inbox, secret: string, hello: Hello, offersCompression: boolean): Promise<OfferedServer> {
  const serverNonce = messageCodec.unpack(await inbox.next(HANDSHAKE_TIMEOUT_MS)) as Buffer
  const nonce = randomBytes(NONCE_BYTES)
  const offer: ClientProof = { hello, nonce, proof: computeProof(secret, 'client', serverNonce, nonce, hello), ...(offersCompression ? { compression: COMPRESSION_VERSION } : {}) }
  socket.send(messageCodec.pack(offer))
  const { proof, now, compression } = messageCodec.unpack(await inbox.next(HANDSHAKE_TIMEOUT_MS)) as ServerProof
  if (!isEqual(proof, computeProof(secret, 'server', serverNonce, nonce, hello))) throw new Error('the peer does not know the cluster secret')
  return { peerTime: now ?? null, isCompressed: offersCompression && compression === COMPRESSION_VERSION }
}

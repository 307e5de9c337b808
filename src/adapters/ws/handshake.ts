import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import type { WebSocket } from 'ws'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { Inbox } from './inbox.js'
import type { Hello } from './message-channel.js'
import { messageCodec } from './message-channel.js'

/** Time to wait for each message of the handshake in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 2000
const NONCE_BYTES = 16

interface ClientProof { hello: Hello, nonce: Buffer, proof: Buffer }
/** `now`: reading of the server's clock, where the server reads one. */
interface ServerProof { proof: Buffer, now?: Milliseconds | undefined }

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
 * @returns the client's description of itself
 * @throws Error when the client does not know the secret or the connection ends
 */
export async function acceptHandshake (socket: WebSocket, inbox: Inbox, secret: string, clock: Clock | null): Promise<Hello> {
  const serverNonce = randomBytes(NONCE_BYTES)
  socket.send(messageCodec.pack(serverNonce))
  const { hello, nonce, proof } = messageCodec.unpack(await inbox.next(HANDSHAKE_TIMEOUT_MS)) as ClientProof
  if (!isEqual(proof, computeProof(secret, 'client', serverNonce, nonce, hello))) throw new Error('the peer does not know the cluster secret')
  const answer: ServerProof = { proof: computeProof(secret, 'server', serverNonce, nonce, hello), now: clock?.now() }
  socket.send(messageCodec.pack(answer))
  return hello
}

/**
 * Runs the client side of the handshake.
 * @returns the server's clock reading, or null when the server sent none
 * @throws Error when the server does not know the secret or the connection ends
 */
export async function offerHandshake (socket: WebSocket, inbox: Inbox, secret: string, hello: Hello): Promise<Milliseconds | null> {
  const serverNonce = messageCodec.unpack(await inbox.next(HANDSHAKE_TIMEOUT_MS)) as Buffer
  const nonce = randomBytes(NONCE_BYTES)
  socket.send(messageCodec.pack({ hello, nonce, proof: computeProof(secret, 'client', serverNonce, nonce, hello) }))
  const { proof, now } = messageCodec.unpack(await inbox.next(HANDSHAKE_TIMEOUT_MS)) as ServerProof
  if (!isEqual(proof, computeProof(secret, 'server', serverNonce, nonce, hello))) throw new Error('the peer does not know the cluster secret')
  return now ?? null
}

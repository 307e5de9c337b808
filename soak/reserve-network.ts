import { createServer } from 'node:net'
import type { Server } from 'node:net'

/** A second byte of loopback addresses that no other run on this machine uses. */
export interface ReservedNetwork {
  readonly network: number
  release: () => void
}

/** Port whose listener marks a network as reserved. */
const RESERVATION_PORT = 8400
const MAX_NETWORK = 254

/**
 * Reserves loopback addresses, so that fleets of other runs at the same time do not reach each other's processes.
 * @param preferred - second byte of the addresses; the next free one is taken when another run uses it
 * @throws Error when no network from the preferred one on is free
 */
export async function reserveNetwork (preferred: number): Promise<ReservedNetwork> {
  for (let network = preferred; network <= MAX_NETWORK; network++) {
    const server = await listen(`127.${network}.9.254`)
    if (server !== null) return { network, release: () => { server.close() } }
  }
  throw new Error(`all loopback networks from 127.${preferred} on are in use`)
}

/** @returns null when the address is in use */
function listen (host: string): Promise<Server | null> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => { resolve(null) })
    server.listen(RESERVATION_PORT, host, () => { resolve(server) })
  })
}

import { readFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { Server } from 'node:net'

/** Ports that no other user of {@link reservePorts} on this machine gets until they are released or this process ends. */
export interface ReservedPorts {
  readonly ports: readonly number[]
  release: () => void
}

/**
 * Address at which a listener marks a port as reserved. The kernel closes the listener when its process ends, so a crash leaves no lock
 * behind. Processes under test listen on other loopback addresses.
 */
export const LOCK_HOST = '127.255.255.253'
/** Lower ports are those of well-known services. */
const FIRST_PORT = 10_000
/** Start of the ephemeral range of Linux unless it is configured otherwise. */
const DEFAULT_EPHEMERAL_START = 32_768
const EPHEMERAL_RANGE_FILE = '/proc/sys/net/ipv4/ip_local_port_range'

/**
 * Reserves ports below the kernel's ephemeral range, so that no socket that is bound to port 0 and no outgoing connection gets them. They
 * stay reserved while the processes that listen on them restart.
 * @param count - number of different ports
 * @param host - loopback address on which the ports must be free; not a wildcard address, which includes that of the lock
 * @throws Error when too few ports are free, or when the ephemeral range leaves no ports
 */
export async function reservePorts (count: number, host = '127.0.0.1'): Promise<ReservedPorts> {
  const portCount = readEphemeralStart() - FIRST_PORT
  if (portCount < count) throw new Error(`the ephemeral ports begin at ${FIRST_PORT + portCount}, which leaves fewer than ${count} ports from ${FIRST_PORT} on`)
  const locks = new Map<number, Server>()
  const release = (): void => { for (const lock of locks.values()) lock.close() }
  // A random start keeps processes that start together from trying the same ports one after the other.
  const start = Math.floor(Math.random() * portCount)
  try {
    for (let index = 0; index < portCount && locks.size < count; index++) {
      const port = FIRST_PORT + (start + index) % portCount
      const lock = await listen(port, LOCK_HOST)
      if (lock === null) continue
      if (await isFree(port, host)) locks.set(port, lock)
      else lock.close()
    }
  } catch (error) {
    release()
    throw error
  }
  if (locks.size < count) {
    release()
    throw new Error(`fewer than ${count} ports from ${FIRST_PORT} to ${FIRST_PORT + portCount - 1} are free`)
  }
  return { ports: [...locks.keys()], release }
}

/** Reserves one port. See {@link reservePorts}. */
export async function reservePort (host = '127.0.0.1'): Promise<{ port: number, release: () => void }> {
  const { ports: [port = 0], release } = await reservePorts(1, host)
  return { port, release }
}

/** @returns the first port of the kernel's ephemeral range; the default of Linux where the file can not be read or parsed */
export function readEphemeralStart (file = EPHEMERAL_RANGE_FILE): number {
  try {
    const start = Number.parseInt(readFileSync(file, 'utf8'), 10)
    return Number.isNaN(start) ? DEFAULT_EPHEMERAL_START : start
  } catch {
    // Other systems do not have the file.
    return DEFAULT_EPHEMERAL_START
  }
}

async function isFree (port: number, host: string): Promise<boolean> {
  const server = await listen(port, host)
  if (server === null) return false
  await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
  return true
}

/** @returns null when the port is in use at this address */
function listen (port: number, host: string): Promise<Server | null> {
  const server = createServer((socket) => { socket.destroy() })
  // A reservation that was not released does not keep its process running.
  server.unref()
  return new Promise((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(null)
      else reject(error)
    })
    server.listen({ port, host, exclusive: true }, () => { resolve(server) })
  })
}

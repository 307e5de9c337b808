// A relay between one entry instance and the control instances. It can drop all bytes, as a partition does.
// The entry instance reaches control only through it: the relay listens on another port of each control host, and replaces that port in the
// addresses of control instances which control sends. Nothing else of a message is changed.
import { connect, createServer } from 'node:net'
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { ports } from './fleet.mjs'

/** First byte of a compressed message between processes of the project. */
const COMPRESSED = 0xc1

function replacePorts (payload, network, port) {
  const isCompressed = payload[0] === COMPRESSED
  const text = (isCompressed ? inflateRawSync(payload.subarray(1)) : payload).toString('latin1')
  const replaced = text.replace(new RegExp(`(127\\.${network}\\.1\\.\\d:)${ports.internal}`, 'g'), `$1${port}`)
  if (replaced === text) return payload
  const bytes = Buffer.from(replaced, 'latin1')
  return isCompressed ? Buffer.concat([Buffer.of(COMPRESSED), deflateRawSync(bytes)]) : bytes
}

/** @returns a function that rewrites a stream of WebSocket frames from a server, which are not masked */
function createFrameRewriter (rewrite) {
  let buffered = Buffer.alloc(0)
  let isUpgraded = false

  function buildFrame (first, payload) {
    const length = payload.length
    const header = length < 126 ? Buffer.of(first, length) : length < 65_536 ? Buffer.of(first, 126, length >> 8, length & 255) : Buffer.concat([Buffer.of(first, 127, 0, 0, 0, 0), Buffer.of(length >>> 24, (length >> 16) & 255, (length >> 8) & 255, length & 255)])
    return Buffer.concat([header, payload])
  }

  return (bytes) => {
    buffered = Buffer.concat([buffered, bytes])
    const out = []
    if (!isUpgraded) {
      const end = buffered.indexOf('\r\n\r\n')
      if (end < 0) return Buffer.alloc(0)
      out.push(buffered.subarray(0, end + 4))
      buffered = buffered.subarray(end + 4)
      isUpgraded = true
    }
    for (;;) {
      if (buffered.length < 2) break
      const short = buffered[1] & 127
      const headerLength = short === 126 ? 4 : short === 127 ? 10 : 2
      if (buffered.length < headerLength) break
      const length = short === 126 ? buffered.readUInt16BE(2) : short === 127 ? Number(buffered.readBigUInt64BE(2)) : short
      if (buffered.length < headerLength + length) break
      const payload = buffered.subarray(headerLength, headerLength + length)
      out.push((buffered[0] & 15) === 2 ? buildFrame(buffered[0], rewrite(payload)) : buffered.subarray(0, headerLength + length))
      buffered = buffered.subarray(headerLength + length)
    }
    return Buffer.concat(out)
  }
}

/** Starts the relays of one entry instance. @param port - port on which they listen, and the first internal port of the entry instance */
export async function startControlRelays ({ network, controls, port }) {
  let isCut = false
  const sockets = new Set()
  const servers = []
  for (const { host } of controls) {
    const server = createServer({ noDelay: true }, (incoming) => {
      const outgoing = connect({ host, port: ports.internal, noDelay: true })
      const rewrite = createFrameRewriter((payload) => replacePorts(payload, network, port))
      for (const [socket, other, transform] of [[incoming, outgoing, (bytes) => bytes], [outgoing, incoming, rewrite]]) {
        sockets.add(socket)
        socket.on('data', (bytes) => { if (!isCut) other.write(transform(bytes)) })
        socket.on('error', () => {})
        socket.on('close', () => {
          sockets.delete(socket)
          if (!isCut) other.destroy()
        })
      }
    })
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    servers.push(server)
  }
  return {
    cut: () => { isCut = true },
    /** Ends the partition. Connections that lost bytes in it are reset. */
    heal: () => {
      isCut = false
      for (const socket of sockets) socket.destroy()
    },
    stop: () => {
      for (const server of servers) server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

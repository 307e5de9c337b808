import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { once } from 'node:events'
import t from 'tap'
import type { Test } from 'tap'
import { openPostgresClient } from '../../src/adapters/postgres/postgres-client.js'
import { resolvePostgresOptions } from '../../src/adapters/postgres/postgres-options.js'
import { resetSocket } from '../../src/adapters/sockets/reset-socket.js'
import { openWireSession } from '../../platform/database-wire.js'
import { address, databaseId, groupId, workspaceId } from '../../src/types/ids.js'
import { credentials } from '../stand-ins/database/fixture/start-group.js'

const RESET = 'ECONNRESET'

interface Peer {
  address: string
  /** Resolves with the error code with which the connection ended at the peer; null when it was closed without an error. */
  ended: Promise<string | null>
}

/** Starts a server for one connection. */
async function startPeer (t: Test, onData: (text: string, socket: Socket) => void): Promise<Peer> {
  const server = createServer()
  const ended = new Promise<string | null>((resolve) => {
    server.on('connection', (socket) => {
      socket.on('data', (bytes) => { onData(bytes.toString('latin1'), socket) })
      socket.on('error', (error: NodeJS.ErrnoException) => { resolve(error.code ?? '') })
      socket.on('close', () => { resolve(null) })
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => server.close())
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, ended }
}

t.test('a socket that can not be reset is destroyed', async (t) => {
  const socket = connect({ host: '127.0.0.1', port: 1 })
  socket.on('error', () => {})
  resetSocket(socket)
  t.ok(socket.destroyed)
  resetSocket(socket)
})

t.test('a statement without an answer is not sent on after its connection was closed', async (t) => {
  const peer = await startPeer(t, (text, socket) => {
    if (text.startsWith('START')) socket.write('READY I 1.1\r\n')
    else session.close()
  })
  const opened = await openWireSession({ database: databaseId('d'), group: groupId('g'), address: address(peer.address), workspace: workspaceId('w') }, 2000)
  const session = opened._unsafeUnwrap()
  t.equal((await session.run({ id: 'q', statement: { kind: 'run', access: 'read', text: 'READ x' }, after: null }))._unsafeUnwrapErr().kind, 'lost')
  t.equal(await peer.ended, RESET)
})

t.test('an idle connection to a database is closed in order', async (t) => {
  const peer = await startPeer(t, (text, socket) => { if (text.startsWith('START')) socket.write('READY I 1.1\r\n') })
  const opened = await openWireSession({ database: databaseId('d'), group: groupId('g'), address: address(peer.address), workspace: workspaceId('w') }, 2000)
  opened._unsafeUnwrap().close()
  t.equal(await peer.ended, null)
})

t.test('a batch without an answer is not sent on after its PostgreSQL connection was destroyed', async (t) => {
  // AuthenticationOk and ReadyForQuery of the PostgreSQL protocol.
  const startupAnswer = Buffer.from('520000000800000000' + '5a0000000549', 'hex')
  let hasStarted = false
  const peer = await startPeer(t, (_text, socket) => {
    if (hasStarted) return client.destroy()
    hasStarted = true
    socket.write(startupAnswer)
  })
  const client = (await openPostgresClient(address(peer.address), resolvePostgresOptions({ credentials })))._unsafeUnwrap()
  t.match(await client.run([{ text: 'select 1', values: [] }]), { kind: 'lost' })
  t.equal(await peer.ended, RESET)
})

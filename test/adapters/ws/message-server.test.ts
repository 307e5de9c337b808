import t from 'tap'
import type { Test } from 'tap'
import { dialChannel } from '../../../src/adapters/ws/dial-channel.js'
import { packMessage, type MessageChannel } from '../../../src/adapters/ws/message-channel.js'
import { listenForMessages } from '../../../src/adapters/ws/message-server.js'
import { startLoopbackProxy } from '../../../soak/loopback-proxy.js'

/** Opens channels over loopback sockets. Guards against lost or damaged messages and against peers that do not know the cluster secret. */

const hello = { purpose: 'peer', name: 'entry-1', address: '127.0.0.1:1' } as const

async function startServer (t: Test, onChannel: (channel: MessageChannel) => void): Promise<string> {
  const server = await listenForMessages({ host: '127.0.0.1', port: 0, clusterSecret: 'right secret', tls: null, logEvent: () => {}, onChannel })
  t.teardown(() => server.close())
  return `127.0.0.1:${server.port}`
}

t.test('messages sent by the server right after the handshake are not lost', async (t) => {
  const address = await startServer(t, (channel) => {
    channel.send({ first: 1 })
    channel.send({ second: 2 })
  })
  const channel = (await dialChannel({ address, hello, clusterSecret: 'right secret', tls: null, logEvent: () => {} }))._unsafeUnwrap()
  t.teardown(() => { channel.close() })
  const received: unknown[] = []
  await new Promise<void>((resolve) => {
    channel.onMessage((message) => {
      received.push(message)
      if (received.length === 2) resolve()
    })
  })
  t.same(received, [{ first: 1 }, { second: 2 }])
})

t.test('a large message for several channels is sent compressed, a small one uncompressed', async (t) => {
  const large = { workspaces: Array.from({ length: 200 }, (_, index) => ({ id: `workspace-${index}`, rate: 100, burst: 100 })) }
  const packed = packMessage(large)
  t.ok(packed.length < 4000)
  const address = await startServer(t, (channel) => {
    channel.sendPacked(packed)
    channel.sendPacked(packMessage({ small: 1 }))
  })
  const channel = (await dialChannel({ address, hello, clusterSecret: 'right secret', tls: null, logEvent: () => {} }))._unsafeUnwrap()
  t.teardown(() => { channel.close() })
  const received: unknown[] = []
  await new Promise<void>((resolve) => {
    channel.onMessage((message) => {
      received.push(message)
      if (received.length === 2) resolve()
    })
  })
  t.same(received, [large, { small: 1 }])
  t.ok(channel.countSocketBytes() >= packed.length)
})

t.test('a compressed message that is damaged ends the channel', async (t) => {
  const address = await startServer(t, (channel) => { channel.sendPacked(Buffer.of(0xc1, 1, 2, 3)) })
  const channel = (await dialChannel({ address, hello, clusterSecret: 'right secret', tls: null, logEvent: () => {} }))._unsafeUnwrap()
  channel.onMessage(() => { t.fail('a damaged message must not be delivered') })
  await new Promise<void>((resolve) => { channel.onEnd(resolve) })
})

t.test('a process without the cluster secret gets no channel', async (t) => {
  let channels = 0
  const address = await startServer(t, () => { channels++ })
  const dialed = await dialChannel({ address, hello, clusterSecret: 'wrong secret', tls: null, logEvent: () => {} })
  t.ok(dialed.isErr())
  t.equal(channels, 0)
})

t.test('closing a channel ends it on the other side', async (t) => {
  const ended = new Promise<string>((resolve) => {
    startServer(t, (channel) => { channel.onEnd(() => { resolve(channel.hello.name) }) })
      .then((address) => dialChannel({ address, hello, clusterSecret: 'right secret', tls: null, logEvent: () => {} }))
      .then((channel) => { channel._unsafeUnwrap().close() })
  })
  t.equal(await ended, 'entry-1')
})

t.test('the connection to a silent peer is reset, so that nothing of it is sent on', async (t) => {
  const address = await startServer(t, () => {})
  const [host = '', port = ''] = address.split(':')
  const proxy = await startLoopbackProxy(host, { host, port: Number(port) })
  t.teardown(proxy.close)
  const channel = (await dialChannel({ address: proxy.address, hello, clusterSecret: 'right secret', tls: null, logEvent: () => {} }))._unsafeUnwrap()
  proxy.mode = 'silent'
  await new Promise<void>((resolve) => { channel.onEnd(resolve) })
  await new Promise<void>((resolve) => {
    const poll = setInterval(() => {
      if (proxy.countOpen() > 0) return
      clearInterval(poll)
      resolve()
    }, 10)
  })
  t.ok(proxy.countResets() > 0)
})

import { connect } from 'node:net'
import fc from 'fast-check'
import t from 'tap'
import { WebSocket } from 'ws'
import { dialChannel } from '../../src/adapters/ws/dial-channel.js'
import type { Hello, MessageChannel } from '../../src/adapters/ws/message-channel.js'
import { HOST, KEY, SECRET, buildConfiguration, connectCaller, startDeployment } from './fixtures/deployment.js'

/**
 * Sends malformed input to every listener of a running deployment: messages that are cut, of other types, of unknown kinds, in the wrong
 * order or from a later version. Guards against one of them ending a process, or being believed: an error that no code catches fails
 * these tests, and afterwards the deployment must still serve writes and reads.
 */

const SEED = 20261204
const wrongValues: unknown[] = [null, undefined, '', 'x', -1, 1.5, Number.NaN, Number.MAX_SAFE_INTEGER, true, [], [null], [[1]], {}, { kind: 'x' }]

/** @returns copies of a message that each have one field, at any depth, missing or of another type */
function spoil (message: Record<string, unknown>): unknown[] {
  return Object.keys(message).flatMap((key) => {
    const { [key]: value, ...rest } = message
    const nested = typeof value === 'object' && value !== null && !Array.isArray(value) ? spoil(value as Record<string, unknown>) : []
    return [rest, ...wrongValues.map((wrong) => ({ ...message, [key]: wrong })), ...nested.map((spoiled) => ({ ...message, [key]: spoiled }))]
  })
}

const anything = (count: number): unknown[] => fc.sample(fc.anything({ maxDepth: 3 }), { seed: SEED, numRuns: count })

const sender = { instance: 'entry-9', incarnation: 'entry-9.a', peerAddress: `${HOST}:9`, failureDomain: 'z' }
const delta = (changed: unknown[]): object => ({ changed, removed: [] })
const heartbeat = {
  version: 1,
  kind: 'compact-heartbeat',
  sequence: 1,
  draining: false,
  leaderTerm: 1,
  manifestVersion: 7,
  directoryVersion: { leaderTerm: 1, counter: 1 },
  sender,
  held: delta([{ resource: 'rate:w', amount: 1, burst: 1, grant: 1, returnedTokens: 0 }]),
  demand: delta([{ resource: 'rate:w', amount: 3 }]),
  observations: delta([{ database: 'i-p', status: null, silentForMs: 0 }]),
  releasedTerms: delta([{ group: 'g', term: 1 }])
}
const borrowed = {
  kind: 'run-borrowed',
  loan: 1,
  terms: { database: 'i-p', workspace: 'w', priority: 1, waitMs: 10 },
  id: 'malformed',
  statement: { kind: 'run', access: 'read', text: 'READ item' },
  definition: null,
  after: { term: 3, offset: 1 },
  values: { owner: 'o', version: 1, changes: [{ name: 'n', value: 'v' }] },
  limitMs: 50,
  sendBy: null,
  isLast: true
}
const messagesByPurpose: Record<Hello['purpose'], unknown[]> = {
  control: [
    ...spoil(heartbeat),
    ...spoil({ version: 1, kind: 'announcement', ageMs: 0, announcement: { database: 'i-x', group: 'g', address: `${HOST}:9`, failureDomain: 'z', departing: false, run: { startedAt: 1, sequence: 1, gone: false }, status: null } }),
    ...spoil({ version: 1, kind: 'leave', instance: 'entry-9', incarnation: 'entry-9.a' }),
    ...spoil({ version: 1, kind: 'service-level-increment', incarnation: 'entry-9.a', sequence: 1, workspaces: [] })
  ],
  peer: [...spoil({ kind: 'call', call: 1, body: { kind: 'ask-token', workspace: 'w', limitMs: 20 } }), ...spoil({ kind: 'call', call: 2, body: borrowed }), ...spoil({ kind: 'end-loan', loan: 1, keep: true })],
  member: spoil({ version: 1, kind: 'append', cluster: 'c', from: 'm', fromAddress: `${HOST}:9`, to: 'n', term: 9, entryAddress: `${HOST}:9`, round: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 1 })
}

/** Sends the messages one after another, each over an open channel; a receiver may end it after any of them. */
async function sendOverChannels (port: number, purpose: Hello['purpose'], messages: readonly unknown[]): Promise<void> {
  const open = async (): Promise<MessageChannel> => (await dialChannel({ address: `${HOST}:${port}`, hello: { purpose, name: 'entry-9', address: `${HOST}:9` }, clusterSecret: SECRET, tls: null, logEvent: () => {} }))._unsafeUnwrap()
  let channel = await open()
  for (const message of messages) {
    if (!channel.isOpen()) channel = await open()
    channel.send(message)
    await pause(1)
  }
  channel.close()
}

function pause (durationMs: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, durationMs) })
}

/** Sends bytes over a new TCP connection. @returns when the other side has closed it, or after a short time */
async function sendBytes (port: number, bytes: Buffer): Promise<void> {
  await new Promise<void>((resolve) => {
    const socket = connect({ port, host: HOST }, () => { socket.write(bytes) })
    socket.on('error', () => {})
    socket.on('close', () => { resolve() })
    setTimeout(() => { socket.destroy() }, 60)
  })
}

async function sendWebSocketMessages (port: number, messages: readonly Buffer[]): Promise<void> {
  await new Promise<void>((resolve) => {
    const socket = new WebSocket(`ws://${HOST}:${port}`)
    socket.on('open', () => { for (const message of messages) socket.send(message) })
    socket.on('error', () => {})
    socket.on('close', () => { resolve() })
    setTimeout(() => { socket.terminate() }, 60)
  })
}

const listeners: { title: string, attack: (deployment: Awaited<ReturnType<typeof startDeployment>>) => Promise<void> }[] = [
  { title: 'messages of entry instances to control', attack: async ({ internalPort }) => { await sendOverChannels(internalPort, 'control', [...messagesByPurpose.control, ...anything(200)]) } },
  { title: 'messages between control members', attack: async ({ internalPort }) => { await sendOverChannels(internalPort, 'member', [...messagesByPurpose.member, ...anything(200)]) } },
  { title: 'messages between entry instances', attack: async ({ peerPort }) => { await sendOverChannels(peerPort, 'peer', [...messagesByPurpose.peer, ...anything(200)]) } },
  {
    title: 'handshakes and bytes on the ports between processes',
    attack: async ({ internalPort, peerPort }) => {
      for (const port of [internalPort, peerPort]) {
        for (const bytes of fc.sample(fc.uint8Array({ minLength: 1, maxLength: 80 }), { seed: SEED, numRuns: 40 })) {
          await Promise.all([sendBytes(port, Buffer.from(bytes)), sendWebSocketMessages(port, [Buffer.from(bytes), Buffer.from(bytes)])])
        }
      }
    }
  },
  {
    title: 'lines of callers',
    attack: async ({ callerPort }) => {
      const lines = ['', ' ', 'QUERY a READ b', `START shop ${KEY}\r\nSTART shop ${KEY}`, `START shop ${KEY}\r\nQUERY\r\nQUERY  \r\nQUERY a\r\nQUERY a AFTER 1.2 READ x`, `START shop ${KEY}\r\n${'QUERY a READ b\r\n'.repeat(100)}`, `START shop ${KEY}\r\nQUERY a EXECUTE none x\r\nQUERY b COMMIT\r\nQUERY c SET\r\nQUERY d PREPARE p READ`, 'START __proto__ constructor', 'CLOSE', 'READY I -', 'A'.repeat(2_000_000)]
      const samples = fc.sample(fc.oneof(fc.string({ maxLength: 60 }), fc.constantFrom('START shop', 'QUERY a BEGIN', 'QUERY a COMMIT', 'CLOSE')), { seed: SEED, numRuns: 60 })
      await Promise.all([...lines, ...samples].map(async (line) => { await sendBytes(callerPort, Buffer.from(`${line}\r\n`, 'latin1')) }))
    }
  },
  {
    title: 'calls of databases and operators',
    attack: async ({ controlPort, send }) => {
      const registration = { service: 'g', address: `${HOST}:9`, zone: 'z', version: 'v', slots: 5, state: 'ready', cold_remaining_ms: 0, db_role: 'replica', sequence: 1, born: 1 }
      for (const body of [...spoil(registration), { ...registration, address: `${HOST}:70000` }]) await send('/api/instances/i-x/heartbeat', body)
      const { version, ...content } = buildConfiguration(6) as Record<string, unknown>
      for (const body of spoil(content)) await send('/api/config/replace', { version, ...body as object })
      for (const path of ['/api/evacuations/%E0%A4%A/start', '/api/instances//heartbeat', '/api/instances/%00/deregister', '/api/../..', '/api/instances/__proto__/deregister']) await send(path, '{')
      for (const bytes of ['GET / HTTP/1.1\r\n\r\n\r\n', 'POST /api/config/replace HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n', 'POST /api/config/replace HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', '\0\0\0']) await sendBytes(controlPort, Buffer.from(bytes, 'latin1'))
    }
  }
]

for (const { title, attack } of listeners) {
  t.test(`malformed input ends no process and no service: ${title}`, { timeout: 60_000 }, async (t) => {
    const deployment = await startDeployment((callback) => { t.teardown(callback) })
    const { databases, sendUntilAccepted, announce } = deployment
    await sendUntilAccepted('/api/config/replace', buildConfiguration(7))
    for (const name of databases.keys()) await announce(name)
    await attack(deployment)
    for (const name of databases.keys()) await announce(name)
    const caller = await connectCaller(deployment.callerPort)
    t.match(caller.greeting, /^READY I/)
    let answer = ''
    while (!answer.startsWith('DONE')) answer = await caller.sendMessage('QUERY w1 WRITE item data')
    t.match(await caller.sendMessage('QUERY r1 READ item'), /^ROW item=v\r\nDONE proof\.r1\r\n/)
    t.same(JSON.parse((await deployment.send('/api/config/describe', undefined, 'GET')).text), buildConfiguration(7))
    caller.close()
  })
}

import t from 'tap'
import { KEY, buildConfiguration, connectCaller, startDeployment } from './fixtures/deployment.js'

/**
 * Restarts the processes of a deployment after a key was withdrawn and a database has left. Guards against their use after the restart, when
 * old configurations and late registrations arrive again, and before an entry instance has heard from control.
 */

const STATEMENT_COUNT = 12

const restarts: { title: string, restart: (deployment: Awaited<ReturnType<typeof startDeployment>>) => Promise<void> }[] = [
  { title: 'control', restart: async ({ restartControl }) => { await restartControl() } },
  { title: 'the entry instance', restart: async ({ restartEntry }) => { await restartEntry() } },
  { title: 'control and then the entry instance', restart: async ({ restartControl, restartEntry }) => { await restartControl(); await restartEntry() } },
  { title: 'the entry instance and then control', restart: async ({ restartControl, restartEntry }) => { await restartEntry(); await restartControl() } }
]

for (const { title, restart } of restarts) {
  t.test(`a withdrawn key and a database that left are not used after a restart of ${title}`, { timeout: 30_000 }, async (t) => {
    const deployment = await startDeployment((callback) => { t.teardown(callback) })
    const { databases, send, sendUntilAccepted, announce, callerPort } = deployment
    const otherKey = 'a-key-that-stays'
    const withKeys = (version: number, keys: string[]): object => buildConfiguration(version, { tenants: [{ name: 'w', api_keys: keys, rate_per_s: 500, burst: 200 }] })
    await sendUntilAccepted('/api/config/replace', withKeys(7, [KEY, otherKey]))
    for (const name of databases.keys()) await announce(name)
    const before = await connectCaller(callerPort)
    let answer = ''
    while (!answer.startsWith('DONE')) answer = await before.sendMessage('QUERY w1 WRITE item data')

    await sendUntilAccepted('/api/config/replace', withKeys(9, [otherKey]))
    const left = databases.get('i-s')
    await sendUntilAccepted('/api/instances/i-s/deregister', { born: 1, sequence: 1000 })
    while (!(await connectCaller(callerPort)).greeting.startsWith('ERROR NOAUTH')) await new Promise((resolve) => { setTimeout(resolve, 10) })
    const ranBefore = left?.ran.length

    await restart(deployment)
    const firstGreeting = (await connectCaller(callerPort)).greeting
    t.notMatch(firstGreeting, /^READY/, 'before the first contact with control as well')
    await sendUntilAccepted('/api/config/replace', withKeys(7, [KEY, otherKey]))
    await send('/api/instances/i-s/heartbeat', { service: 'g', address: left?.address, zone: 'z', version: 'v', slots: 5, state: 'ready', cold_remaining_ms: 0, db_role: 'replica', sequence: 999, born: 1 })
    for (const name of ['i-p', 'i-r']) await announce(name)

    let caller = await connectCaller(callerPort, otherKey)
    while (!caller.greeting.startsWith('READY')) caller = await connectCaller(callerPort, otherKey)
    answer = ''
    while (!answer.startsWith('DONE')) answer = await caller.sendMessage('QUERY w2 WRITE item data')
    for (let count = 0; count < STATEMENT_COUNT; count++) await caller.sendMessage(`QUERY r${count} READ item`)
    t.match((await connectCaller(callerPort)).greeting, /^ERROR NOAUTH/)
    t.equal(left?.ran.length, ranBefore, 'the database that left runs nothing')
    t.same(JSON.parse((await send('/api/config/describe', undefined, 'GET')).text), withKeys(9, [otherKey]))
    caller.close()
  })
}

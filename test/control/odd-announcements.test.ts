import t from 'tap'
import { address, databaseId, failureDomainId, groupId } from '../../src/types/ids.js'
import type { DatabaseRecord } from '../../src/types/replicated-state.js'
import type { Entry } from './fixtures/announced-databases.js'
import { buildState, startLeader } from './fixtures/announced-databases.js'

// Another writer can announce a database that does not exist, under the id or at the address of a running one. Guards against a running
// database that is no longer used because of such an entry, and against announcements of ended incarnations that are believed again.

const HEARTBEAT_MS = 1000
const A: Entry = { id: 'a', group: 'g', address: '10.0.0.1:5000', startedAt: 1000, sequence: 0, role: 'primary' }
const B: Entry = { id: 'b', group: 'g', address: '10.0.0.2:5000', startedAt: 2000, sequence: 0 }
const USABLE = ['a@10.0.0.1:5000', 'b@10.0.0.2:5000']

type Leader = Awaited<ReturnType<typeof startLeader>>

/** Lets databases announce themselves, once in each interval. @returns the entries of their last announcements */
async function run (leader: Leader, entries: Entry[], intervals: number): Promise<Entry[]> {
  let current = entries
  for (let interval = 0; interval < intervals; interval++) {
    current = current.map((entry) => ({ ...entry, sequence: entry.sequence + 1 }))
    for (const entry of current) await leader.send(entry)
    await leader.advance(HEARTBEAT_MS)
  }
  return current
}

const oddEntries: { name: string, odd: Entry }[] = [
  { name: 'of a group that no manifest names, at the address of a running one', odd: { ...A, id: 'odd', group: 'nobody', startedAt: Number.MAX_SAFE_INTEGER } },
  { name: 'of a group that no manifest names, with the id of a running one', odd: { ...A, group: 'nobody', startedAt: Number.MAX_SAFE_INTEGER } },
  { name: 'with an id of its own and a later start, at the address of a running one', odd: { ...A, id: 'odd', startedAt: Number.MAX_SAFE_INTEGER } },
  { name: 'with the id of a running one, a later start and another address', odd: { ...A, address: '10.9.9.9:1', startedAt: Number.MAX_SAFE_INTEGER } },
  { name: 'with the id and the start of a running one and another address', odd: { ...A, address: '10.9.9.9:1', sequence: Number.MAX_SAFE_INTEGER } },
  { name: 'with the id of a running one and a later start, departing', odd: { ...A, startedAt: 5000, departing: true } }
]
for (const { name, odd } of oddEntries) {
  t.test(`an entry takes no running database out of use: ${name}`, async (t) => {
    const leader = await startLeader()
    const current = await run(leader, [A, B], 3)
    t.same(leader.usable(), USABLE)
    await leader.send(odd)
    for (let interval = 1; interval <= 8; interval++) {
      await run(leader, current.map((entry) => ({ ...entry, sequence: entry.sequence + interval })), 1)
      t.same(leader.usable().filter((used) => USABLE.includes(used)), USABLE, `interval ${interval}`)
    }
    await leader.changeLeader()
    await run(leader, current.map((entry) => ({ ...entry, sequence: entry.sequence + 20 })), 1)
    t.same(leader.usable().filter((used) => USABLE.includes(used)), USABLE, 'at the next leader')
  })
}

t.test('an entry that arrives before the running database first announces itself keeps it out of use for a few intervals only', async (t) => {
  for (const { name, odd } of oddEntries) {
    const leader = await startLeader()
    await leader.send(odd)
    await leader.advance(HEARTBEAT_MS)
    await run(leader, [A, B], 8)
    t.same(leader.usable().filter((used) => USABLE.includes(used)), USABLE, name)
  }
})

const toRecord = (entry: Entry): DatabaseRecord => ({ database: databaseId(entry.id), group: groupId(entry.group), address: address(entry.address), failureDomain: failureDomainId('z'), startedAt: entry.startedAt, role: 'replica', state: 'ready' })

t.test('a database is used again although an earlier version of the program has recorded an odd entry in its place', async (t) => {
  for (const { name, odd } of oddEntries) {
    const leader = await startLeader(buildState({ databases: [toRecord(odd)] }))
    await run(leader, [A, B], 8)
    t.same(leader.usable().filter((used) => USABLE.includes(used)), USABLE, name)
  }
})

t.test('a database whose clock was ahead at its former start is used again after it has restarted with an earlier start', async (t) => {
  const leader = await startLeader()
  await run(leader, [{ ...A, startedAt: 7_200_000 }, B], 3)
  const restarted = { ...A, address: '10.0.0.3:5000' }
  await run(leader, [restarted, { ...B, sequence: 3 }], 8)
  t.same(leader.usable(), ['a@10.0.0.3:5000', 'b@10.0.0.2:5000'])
})

t.test('a restarted database, and another one at the address of a crashed one, are used at their first announcement after a short silence', async (t) => {
  const leader = await startLeader()
  const [a] = await run(leader, [A, B], 3) as [Entry]
  await run(leader, [a], 3)
  t.equal(await leader.send({ ...B, startedAt: 3000, sequence: 1, address: '10.0.0.9:5000' }), 'accepted')
  await run(leader, [{ ...a, sequence: 10 }], 4)
  t.equal(await leader.send({ ...B, id: 'c', startedAt: 4000, sequence: 1, address: '10.0.0.9:5000' }), 'accepted')
  await leader.advance(HEARTBEAT_MS)
  t.same(leader.usable(), ['a@10.0.0.1:5000', 'c@10.0.0.9:5000'])
})

t.test('a database at the address of one that has left is used at its first announcement', async (t) => {
  const leader = await startLeader()
  const [, b] = await run(leader, [A, B], 3) as [Entry, Entry]
  await leader.send({ ...b, gone: true, sequence: b.sequence + 1 })
  t.equal(await leader.send({ ...B, id: 'c', startedAt: 4000, sequence: 1 }), 'accepted')
  await leader.advance(HEARTBEAT_MS)
  t.same(leader.usable(), ['a@10.0.0.1:5000', 'c@10.0.0.2:5000'])
})

t.test('late announcements of an ended incarnation do not bring it back: together, few, or beside those of its successor', async (t) => {
  const leader = await startLeader()
  const [a, b] = await run(leader, [A, B], 3) as [Entry, Entry]
  await leader.advance(4 * HEARTBEAT_MS)
  const c = { ...B, id: 'c', startedAt: 4000, sequence: 1 }
  await leader.send(c)
  for (const sequence of [4, 5, 6, 7, 8]) t.equal(await leader.send({ ...b, sequence }), 'ignored')
  await leader.advance(5 * HEARTBEAT_MS)
  t.equal(await leader.send({ ...b, sequence: 9 }), 'ignored')
  for (let sequence = 10; sequence < 20; sequence++) {
    await leader.send({ ...c, sequence })
    t.equal(await leader.send({ ...b, sequence }), 'ignored')
    await leader.advance(HEARTBEAT_MS)
  }
  await run(leader, [{ ...a, sequence: 30 }], 1)
  t.same(leader.usable(), ['a@10.0.0.1:5000', 'c@10.0.0.2:5000'])
  await leader.send({ ...c, gone: true, sequence: 20 })
  for (let sequence = 21; sequence < 30; sequence++) {
    t.equal(await leader.send({ ...c, sequence }), 'ignored')
    await leader.advance(HEARTBEAT_MS)
  }
  t.notOk(leader.usable().includes('c@10.0.0.2:5000'), 'an incarnation that announced its end')
})

t.test('a recorded entry whose fields no connection can use is not published', async (t) => {
  const unusable: Entry[] = [
    { ...B, id: 'x\r\nQUERY 1 WRITE item data', address: '10.9.9.1:1' }, { ...B, id: 'y z', address: '10.9.9.2:1' }, { ...B, id: 'port', address: '10.9.9.3:70000' }, { ...B, id: 'no-port', address: '10.9.9.4' },
    { ...B, id: '\ud800', address: '10.9.9.5:1' }, { ...B, id: 'n'.repeat(5000), address: '10.9.9.6:1' }, { ...B, id: 'far', address: `${'h'.repeat(5000)}:1` }, { ...B, id: 'nul', address: 'h\0:1' }
  ]
  const leader = await startLeader(buildState({ databases: unusable.map(toRecord) }))
  await run(leader, [A, B], 3)
  t.same(leader.usable(), USABLE)
  t.equal(leader.logged.filter((name) => name === 'announcementUnreadable').length, unusable.length)
})

t.test('the announcement of an unusable id or address is refused', async (t) => {
  const leader = await startLeader()
  for (const odd of [{ ...B, id: 'x\r\ny' }, { ...B, id: '' }, { ...B, address: '10.0.0.2:0' }, { ...B, group: 'a b' }, { ...B, failureDomain: '\u0007' }, { ...B, startedAt: Number.NaN }, { ...B, sequence: -5 }, { ...B, startedAt: 1.5 }]) {
    t.equal(await leader.send(odd), 'unreadable', JSON.stringify(odd).slice(0, 80))
  }
  t.same(leader.state().databases, [])
  t.equal(await leader.send({ ...B, id: 'b\u00e9\u010d\u010a', failureDomain: 'rack 7 \u010d' }), 'accepted', 'letters that messages carry as UTF-8, and blanks where they harm no line')
})

t.test('a departure counts although an entry has used up the sequence numbers of the incarnation', async (t) => {
  for (const ending of [{ departing: true }, { gone: true }]) {
    const leader = await startLeader()
    const [a, b] = await run(leader, [A, B], 3) as [Entry, Entry]
    await leader.send({ ...b, sequence: Number.MAX_SAFE_INTEGER })
    await leader.send({ ...b, ...ending, sequence: b.sequence + 1 })
    await run(leader, [a], 2)
    t.same(leader.usable(), ['a@10.0.0.1:5000'], Object.keys(ending)[0])
  }
})

t.test('a changed role counts although an entry has used up the sequence numbers of the incarnation', async (t) => {
  const leader = await startLeader()
  const current = await run(leader, [A, B], 3) as [Entry, Entry]
  await leader.send({ ...current[1], sequence: Number.MAX_SAFE_INTEGER })
  await run(leader, [current[0], { ...current[1], role: 'primary' }], 8)
  t.ok(leader.logged.includes('databaseRoleChanged'))
})

t.test('a late announcement changes neither role nor departure of an incarnation that goes on announcing itself', async (t) => {
  const leader = await startLeader()
  let [a, b] = await run(leader, [A, B], 3) as [Entry, Entry]
  for (let interval = 0; interval < 8; interval++) {
    [a, b] = await run(leader, [a, b], 1) as [Entry, Entry]
    await leader.send({ ...b, role: 'primary', sequence: b.sequence - 2 })
  }
  t.notOk(leader.logged.includes('databaseRoleChanged'))
  await leader.send({ ...b, departing: true, sequence: b.sequence + 1 })
  for (const sequence of [b.sequence - 1, b.sequence]) await leader.send({ ...b, sequence })
  await run(leader, [a], 1)
  t.same(leader.usable(), ['a@10.0.0.1:5000'])
})

t.test('an entry at an address that nobody uses is not used for long, nor by the next leader', async (t) => {
  const leader = await startLeader()
  await run(leader, [A, B], 3)
  await leader.send({ ...B, id: 'odd', address: '10.9.9.9:1' })
  t.ok(leader.usable().includes('odd@10.9.9.9:1'), 'a new database is used at its first announcement')
  await run(leader, [{ ...A, sequence: 3 }, { ...B, sequence: 3 }], 40)
  t.same(leader.usable(), USABLE)
  await leader.changeLeader()
  await run(leader, [{ ...A, sequence: 50 }, { ...B, sequence: 50 }], 2)
  t.same(leader.usable(), USABLE, 'at the next leader')
})

t.test('a group whose commits wait for replicas elects a primary although an odd entry never answers', async (t) => {
  const leader = await startLeader()
  leader.fences.set('a', 0).set('b', 0)
  const [, b] = await run(leader, [A, B], 3) as [Entry, Entry]
  t.equal(leader.primary(), 'a')
  await leader.send({ ...B, id: 'odd', address: '10.9.9.9:1' })
  leader.fences.delete('a')
  for (let interval = 1; interval <= 45; interval++) {
    await run(leader, [{ ...b, sequence: b.sequence + interval, role: leader.promoted() === 'b' ? 'primary' : 'replica' }], 1)
  }
  t.equal(leader.primary(), 'b')
})

t.test('a silent database stays registered after its second announcement or an answer, because it may hold acknowledged writes', async (t) => {
  const leader = await startLeader()
  leader.answering.add('c')
  await run(leader, [A, B], 2)
  await leader.send({ ...B, id: 'c', address: '10.0.0.3:5000' })
  await leader.advance(HEARTBEAT_MS)
  leader.answering.delete('c')
  await run(leader, [{ ...A, sequence: 3 }], 60)
  t.same(leader.usable(), [...USABLE, 'c@10.0.0.3:5000'])
})

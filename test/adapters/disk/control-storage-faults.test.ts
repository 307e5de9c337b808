import { isDeepStrictEqual } from 'node:util'
import t from 'tap'
import type { Test } from 'tap'
import type { OpenedControlStorage } from '../../../src/adapters/disk/control-storage.js'
import { openControlStorage } from '../../../src/adapters/disk/control-storage.js'
import { createEmptyReplicatedState } from '../../../src/decisions/manifest/apply-command.js'
import type { DurableRecord, RestoredMember } from '../../../src/types/control-storage.js'
import type { LogEntry, LogSnapshot } from '../../../src/types/consensus-entry.js'
import { clusterId } from '../../../src/types/consensus-entry.js'
import { memberId } from '../../../src/types/ids.js'
import { buildManifestCommand } from '../../fixtures/build-manifest-command.js'
import { createSimulatedDisk } from '../../fixtures/simulated-disk.js'
import type { OperationFault, SimulatedFileSystem } from '../../fixtures/simulated-file-system.js'
import { createSimulatedFileSystem } from '../../fixtures/simulated-file-system.js'

// Guards against acknowledged votes and entries that are lost, and folders that can't be opened any more, after a disk was full or a sync failed.

const FOLDER = '/data'
const LOG = '/data/control.log'
const vote = { term: 3, votedFor: memberId('other') }

const buildEntry = (index: number, term: number): LogEntry => ({ index, term, payload: { kind: 'command', command: buildManifestCommand(index - 1, `content ${index} of term ${term}`) } })
const buildSnapshot = (index: number, term: number): LogSnapshot => ({ index, term, cluster: clusterId('c1'), members: [], state: { ...createEmptyReplicatedState(), manifestVersion: index } })

async function openFolder (disk: SimulatedFileSystem): Promise<OpenedControlStorage> {
  return (await openControlStorage(FOLDER, disk.files))._unsafeUnwrap()
}

for (const { logIs, entries } of [
  { logIs: 'shorter than the snapshot', entries: [buildEntry(1, 1)] },
  { logIs: 'in conflict with the snapshot', entries: [1, 2, 3, 4, 5, 6].map((index) => buildEntry(index, 1)) }
]) {
  t.test(`entries after a received snapshot survive when the disk was full as the log was replaced, and the log was ${logIs}`, async (t) => {
    const disk = createSimulatedFileSystem()
    const first = await openFolder(disk)
    await first.storage.persist([{ kind: 'vote', vote }, { kind: 'entries', entries }])
    const snapshot = buildSnapshot(5, 2)
    disk.setFaults((operation, path) => operation === 'write' && path === `${LOG}.tmp` ? { code: 'ENOSPC' } : 'proceed')
    t.ok((await first.storage.persist([{ kind: 'snapshot', snapshot, vote, entries: [] }])).isErr())

    disk.setFaults(() => 'proceed')
    const second = await openFolder(disk)
    t.same(second.restored, { ...first.restored, vote, snapshot, entries: [] })
    t.ok((await second.storage.persist([{ kind: 'entries', entries: [buildEntry(6, 3)] }])).isOk())
    await second.storage.close()
    t.same((await openFolder(disk)).restored.entries, [buildEntry(6, 3)])
  })
}

t.test('what a restarted process reads survives a loss of power, though the process before was killed during the sync', async (t) => {
  const disk = createSimulatedFileSystem()
  const first = await openFolder(disk)
  disk.setFaults((operation) => operation === 'datasync' ? 'hang' : 'proceed')
  first.storage.persist([{ kind: 'vote', vote }, { kind: 'entries', entries: [buildEntry(1, 1)] }])
  await new Promise((resolve) => setImmediate(resolve))

  disk.setFaults(() => 'proceed')
  const second = await openFolder(disk)
  t.same(second.restored.vote, vote, 'the restarted member tells others of this vote without writing it again')
  disk.losePower()
  t.same((await openFolder(disk)).restored, second.restored)
})

t.test('a replaced log that a restarted process reads survives a loss of power, though the process before was killed before it synced the folder', async (t) => {
  const disk = createSimulatedFileSystem()
  const first = await openFolder(disk)
  await first.storage.persist([{ kind: 'entries', entries: [1, 2].map((index) => buildEntry(index, 1)) }])
  let folderSyncs = 0
  disk.setFaults((operation, path) => operation === 'sync' && path === FOLDER && ++folderSyncs === 2 ? 'hang' : 'proceed')
  first.storage.persist([{ kind: 'snapshot', snapshot: buildSnapshot(2, 1), vote, entries: [] }])
  await new Promise((resolve) => setImmediate(resolve))

  disk.setFaults(() => 'proceed')
  const second = await openFolder(disk)
  t.ok((await second.storage.persist([{ kind: 'entries', entries: [buildEntry(3, 3)] }])).isOk())
  disk.losePower()
  t.same((await openFolder(disk)).restored.entries, [buildEntry(3, 3)])
})

/** Writes of a member: votes, entries, entries that replace others, an own snapshot, a snapshot that conflicts with the log, and entries after each. */
const writes: DurableRecord[][] = [
  [{ kind: 'vote', vote: { term: 1, votedFor: memberId('other') } }],
  [{ kind: 'entries', entries: [buildEntry(1, 1), buildEntry(2, 1)] }],
  [{ kind: 'entries', entries: [buildEntry(3, 1)] }],
  [{ kind: 'vote', vote: { term: 2, votedFor: null } }, { kind: 'entries', entries: [buildEntry(3, 2), buildEntry(4, 2)] }],
  [{ kind: 'snapshot', snapshot: buildSnapshot(3, 2), vote: { term: 2, votedFor: null }, entries: [buildEntry(4, 2)] }],
  [{ kind: 'entries', entries: [buildEntry(5, 2)] }],
  [{ kind: 'snapshot', snapshot: buildSnapshot(9, 3), vote, entries: [] }],
  [{ kind: 'entries', entries: [buildEntry(10, 3)] }]
]
/** Position in `writes` before which the process is restarted. */
const RESTART_BEFORE = 6
const MAX_ATTEMPTS = 20

async function openUntilUsable (disk: SimulatedFileSystem): Promise<OpenedControlStorage> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const opened = await openControlStorage(FOLDER, disk.files, attempt > 0)
    if (opened.isOk()) return opened.value
    if (!opened.error.isTemporary) throw new Error(opened.error.message)
  }
  throw new Error('the folder stays unusable')
}

async function recoverUntilUsable (opened: OpenedControlStorage): Promise<RestoredMember> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const recovered = await opened.storage.recover()
    if (recovered.isOk()) return recovered.value
    if (!recovered.error.isTemporary) throw new Error(recovered.error.message)
  }
  throw new Error('the storage stays unusable')
}

/** Carries out all writes, each until it succeeds. @returns number of writes that failed */
async function writeAll (t: Test, disk: SimulatedFileSystem): Promise<number> {
  let failedWrites = 0
  let opened = await openUntilUsable(disk)
  const expected = createSimulatedDisk(opened.restored.member)
  const expectSynced = (restored: RestoredMember, message: string) => t.same({ ...restored, member: expected.member }, expected.restored(), message)
  for (const [position, records] of writes.entries()) {
    if (position === RESTART_BEFORE) {
      await opened.storage.close()
      opened = await openUntilUsable(disk)
      expectSynced(opened.restored, 'a restart restores what was synced')
    }
    const before = expected.restored()
    expected.write(0, records)
    expected.syncOne()
    let isSynced = (await opened.storage.persist(records)).isOk()
    while (!isSynced) {
      failedWrites++
      t.ok((await opened.storage.persist(records)).isErr(), 'nothing is written before the storage has recovered')
      const recovered = { ...await recoverUntilUsable(opened), member: expected.member }
      // A snapshot may be in place although the write failed; the member then continues from it and doesn't write it again.
      isSynced = records[0]?.kind === 'snapshot' && isDeepStrictEqual(recovered, expected.restored())
      if (!isSynced) {
        if (recovered.snapshot?.index === before.snapshot?.index) t.same(recovered, before, 'the recovered state is what was synced')
        isSynced = (await opened.storage.persist(records)).isOk()
      }
    }
  }
  await opened.storage.close()
  disk.setFaults(() => 'proceed')
  disk.losePower()
  expectSynced((await openFolder(disk)).restored, 'a loss of power takes nothing that was synced')
  t.ok(disk.names().every((name) => !name.endsWith('.tmp')), 'no temporary file is left')
  return failedWrites
}

for (const { failing, fault } of [
  { failing: 'fails', fault: { code: 'EIO' } },
  { failing: 'fails after it had its effect', fault: { code: 'EIO', hasEffect: true } }
] satisfies { failing: string, fault: OperationFault }[]) {
  for (const failedOperations of [1, 2, 7]) {
    t.test(`no synced record is lost and the folder stays usable, whichever operation ${failing}, ${failedOperations} in a row`, async (t) => {
      let operations = Infinity
      let failedWrites = 0
      for (let first = 0; first < operations; first++) {
        let count = 0
        const disk = createSimulatedFileSystem()
        disk.setFaults(() => {
          const isFailing = count >= first && count < first + failedOperations
          count++
          return isFailing ? fault : 'proceed'
        })
        failedWrites += await writeAll(t, disk)
        operations = count
      }
      t.ok(failedWrites >= writes.length, `${failedWrites} writes failed`)
    })
  }
}

t.test('a member writes again once its full disk has room, whatever part of its write the disk took', async (t) => {
  for (let freeBytes = 0; freeBytes < 200; freeBytes += 7) {
    const disk = createSimulatedFileSystem()
    const opened = await openFolder(disk)
    await opened.storage.persist(writes[1] as DurableRecord[])
    disk.setSize(disk.usedBytes() + freeBytes)
    const failed = await opened.storage.persist([{ kind: 'entries', entries: [buildEntry(3, 1), buildEntry(4, 1)] }])
    t.match(failed._unsafeUnwrapErr(), { isTemporary: true })
    const recovered = await opened.storage.recover()
    if (freeBytes === 0) t.ok(recovered.isErr(), 'the member does not join while nothing can be written')
    // A record as short as a vote may still fit, and the entries then fail once more.
    if (recovered.isOk()) t.ok((await opened.storage.persist([{ kind: 'entries', entries: [buildEntry(3, 1), buildEntry(4, 1)] }])).isErr())
    disk.setSize(Infinity)
    t.same((await recoverUntilUsable(opened)).entries, [buildEntry(1, 1), buildEntry(2, 1)])
    t.ok((await opened.storage.persist([{ kind: 'entries', entries: [buildEntry(3, 2)] }])).isOk())
    await opened.storage.close()
    disk.losePower()
    t.same((await openFolder(disk)).restored.entries, [buildEntry(1, 1), buildEntry(2, 1), buildEntry(3, 2)])
  }
})

t.test('a record that is given to the storage while it recovers fails at once and is never written', async (t) => {
  const disk = createSimulatedFileSystem()
  const { storage } = await openFolder(disk)
  disk.setFaults((operation) => operation === 'datasync' ? { code: 'EIO' } : 'proceed')
  t.ok((await storage.persist(writes[0] as DurableRecord[])).isErr())
  let early: boolean | null = null
  disk.setFaults((operation) => {
    if (operation === 'truncate') storage.persist([{ kind: 'vote', vote }]).then((result) => { early = result.isOk() })
    return 'proceed'
  })
  t.ok((await storage.recover()).isOk())
  t.equal(early, false)
  t.ok((await storage.persist([{ kind: 'entries', entries: [buildEntry(1, 1)] }])).isOk())
  await storage.close()
  t.match((await openFolder(disk)).restored, { vote: { term: 0 }, entries: [buildEntry(1, 1)] })
})

t.test('a start on a full disk removes temporary files that an earlier process left', async (t) => {
  const disk = createSimulatedFileSystem()
  const first = await openFolder(disk)
  await first.storage.persist(writes[1] as DurableRecord[])
  const leftover = await disk.files.open('/data/control.snapshot.tmp', 'w')
  await leftover.write(Buffer.alloc(500), 0, 500, 0)
  disk.setSize(disk.usedBytes())
  const second = await openFolder(disk)
  t.ok((await second.storage.persist([{ kind: 'vote', vote }])).isOk())
})

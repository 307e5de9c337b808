import t from 'tap'
import type { OpenedControlStorage } from '../../../src/adapters/disk/control-storage.js'
import { openControlStorage } from '../../../src/adapters/disk/control-storage.js'
import { createEmptyReplicatedState } from '../../../src/decisions/manifest/apply-command.js'
import type { LogEntry, LogSnapshot } from '../../../src/types/consensus-entry.js'
import { clusterId } from '../../../src/types/consensus-entry.js'
import { memberId } from '../../../src/types/ids.js'
import { buildManifestCommand } from '../../fixtures/build-manifest-command.js'
import type { SimulatedFileSystem } from '../../fixtures/simulated-file-system.js'
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

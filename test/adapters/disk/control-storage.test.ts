import { mkdir, mkdtemp, readdir, readFile, rename, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import type { Test } from 'tap'
import { openControlStorage } from '../../../src/adapters/disk/control-storage.js'
import type { OpenedControlStorage } from '../../../src/adapters/disk/control-storage.js'
import type { LogEntry, LogSnapshot } from '../../../src/types/consensus-entry.js'
import { clusterId } from '../../../src/types/consensus-entry.js'
import type { RestoredMember } from '../../../src/types/control-storage.js'
import { memberId } from '../../../src/types/ids.js'
import { resultCodes } from '../../../src/types/result-code.js'
import { createEmptyReplicatedState } from '../../../src/decisions/manifest/apply-command.js'
import { buildManifestCommand } from '../../fixtures/build-manifest-command.js'

/**
 * Writes, damages and reopens data folders. Guards against a member that restarts with lost or wrong votes and entries:
 * a crash may tear only the last record, and any other damage must be reported without changing a file.
 */

const buildEntry = (index: number, term: number): LogEntry => ({ index, term, payload: { kind: 'command', command: buildManifestCommand(index - 1, `content ${index}`) } })
const vote = { term: 3, votedFor: memberId('other') }
const snapshot: LogSnapshot = { index: 2, term: 1, cluster: clusterId('c1'), members: [], state: { ...createEmptyReplicatedState(), manifestVersion: 2 } }

async function createFolderPath (t: Test): Promise<string> {
  const parent = await mkdtemp(join(tmpdir(), 'catkinrelay-disk-'))
  t.teardown(() => rm(parent, { recursive: true, force: true }))
  return join(parent, 'data')
}

async function openFolder (folder: string): Promise<OpenedControlStorage> {
  return (await openControlStorage(folder))._unsafeUnwrap()
}

/** Writes a vote, then three entries, then a batch that replaces the third and adds a fourth, each with its own sync. */
async function writeTestEntries (folder: string): Promise<RestoredMember> {
  const { storage, restored } = await openFolder(folder)
  await storage.persist([{ kind: 'vote', vote }])
  for (const index of [1, 2, 3]) await storage.persist([{ kind: 'entries', entries: [buildEntry(index, 1)] }])
  await storage.persist([{ kind: 'entries', entries: [buildEntry(3, 2), buildEntry(4, 2)] }])
  await storage.close()
  return restored
}

/** @returns the names and contents of all files; for an unreadable folder its error code, for an unreadable file the word 'unreadable' */
async function readAll (folder: string): Promise<string[]> {
  const names = await readdir(folder).catch((error: NodeJS.ErrnoException) => [String(error.code)])
  return await Promise.all(names.map(async (name) => name + await readFile(join(folder, name), 'hex').catch(() => 'unreadable')))
}

t.test('a restart restores the synced vote and entries, without entries replaced later', async (t) => {
  const folder = await createFolderPath(t)
  const { member } = await writeTestEntries(folder)
  const { restored, cutBytes, storage } = await openFolder(folder)
  t.same(restored, { member, vote, snapshot: null, entries: [buildEntry(1, 1), buildEntry(2, 1), buildEntry(3, 2), buildEntry(4, 2)] })
  t.equal(cutBytes, 0)
  await storage.close()
})

t.test('a snapshot replaces the log, and a crash before the shortened log is in place loses no entry after the snapshot', async (t) => {
  const folder = await createFolderPath(t)
  await writeTestEntries(folder)
  const longLog = await readFile(join(folder, 'control.log'))
  const { storage, restored } = await openFolder(folder)
  await Promise.all([
    storage.persist([{ kind: 'snapshot', snapshot, vote, entries: restored.entries.slice(2) }]),
    storage.persist([{ kind: 'entries', entries: [buildEntry(5, 3)] }])
  ])
  await storage.close()
  const again = await openFolder(folder)
  t.same(again.restored, { ...restored, snapshot, entries: [buildEntry(3, 2), buildEntry(4, 2), buildEntry(5, 3)] })
  await again.storage.close()
  await writeFile(join(folder, 'control.log'), longLog)
  const afterCrash = await openFolder(folder)
  t.same(afterCrash.restored, { ...restored, snapshot, entries: [buildEntry(3, 2), buildEntry(4, 2)] })
  await afterCrash.storage.close()
})

t.test('a torn last record is cut off, whatever its length, and the log accepts new records', async (t) => {
  const folder = await createFolderPath(t)
  await writeTestEntries(folder)
  const log = join(folder, 'control.log')
  const whole = await readFile(log)
  const { storage } = await openFolder(folder)
  await storage.persist([{ kind: 'entries', entries: [buildEntry(5, 3)] }])
  await storage.close()
  const longer = await readFile(log)
  const tornTails = [1, 7, 8, 9, longer.length - whole.length - 1].map((bytes) => longer.subarray(0, whole.length + bytes))
  const zeroedTail = Buffer.concat([whole, Buffer.alloc(longer.length - whole.length)])
  for (const torn of [...tornTails, zeroedTail]) {
    await writeFile(log, torn)
    const opened = await openFolder(folder)
    t.equal(opened.cutBytes, torn.length - whole.length)
    t.same(await readFile(log), whole)
    t.equal(opened.restored.entries.length, 4)
    await opened.storage.persist([{ kind: 'entries', entries: [buildEntry(5, 4)] }])
    await opened.storage.close()
    const again = await openFolder(folder)
    t.same(again.restored.entries.at(-1), buildEntry(5, 4))
    await again.storage.close()
  }
})

t.test('several appends share one sync', async (t) => {
  const folder = await createFolderPath(t)
  const { storage } = await openFolder(folder)
  const { length: emptyLength } = await readFile(join(folder, 'control.log'))
  await Promise.all([1, 2, 3].map((index) => storage.persist([{ kind: 'entries', entries: [buildEntry(index, 1)] }])))
  await storage.close()
  const log = await readFile(join(folder, 'control.log'))
  t.equal(emptyLength + 8 + log.readUInt32BE(emptyLength), log.length, 'the three appends are one record')
})

interface DamageCase {
  fault: string
  damage: (folder: string) => Promise<void>
}

async function changeLog (folder: string, change: (log: Buffer) => Buffer): Promise<void> {
  const path = join(folder, 'control.log')
  await writeFile(path, change(await readFile(path)))
}

const invertByte = (offset: number) => (log: Buffer): Buffer => {
  log.writeUInt8(log.readUInt8(offset) ^ 0xff, offset)
  return log
}
const findFirstRecordEnd = (log: Buffer): number => 8 + log.readUInt32BE(0)

const damageCases: DamageCase[] = [
  { fault: 'a changed byte in the middle', damage: (folder) => changeLog(folder, (log) => invertByte(findFirstRecordEnd(log) + 10)(log)) },
  { fault: 'a changed length, which looks like a torn tail', damage: (folder) => changeLog(folder, (log) => invertByte(findFirstRecordEnd(log))(log)) },
  { fault: 'a changed byte in the first record', damage: (folder) => changeLog(folder, invertByte(12)) },
  {
    fault: 'a record missing in the middle',
    damage: (folder) => changeLog(folder, (log) => {
      const start = findFirstRecordEnd(log)
      const second = start + 8 + log.readUInt32BE(start)
      const end = second + 8 + log.readUInt32BE(second)
      return Buffer.concat([log.subarray(0, second), log.subarray(end)])
    })
  },
  { fault: 'an emptied log', damage: (folder) => changeLog(folder, () => Buffer.alloc(0)) },
  { fault: 'a missing log, and with it the vote', damage: (folder) => rm(join(folder, 'control.log')) },
  { fault: 'a missing member id', damage: (folder) => rm(join(folder, 'member-id')) },
  { fault: 'the member id of another folder', damage: (folder) => writeFile(join(folder, 'member-id'), 'other') },
  { fault: 'a damaged snapshot', damage: (folder) => writeFile(join(folder, 'control.snapshot'), 'not a snapshot') },
  {
    fault: 'a missing snapshot',
    damage: async (folder) => {
      const { storage, restored } = await openFolder(folder)
      await storage.persist([{ kind: 'snapshot', snapshot, vote, entries: restored.entries.slice(2) }])
      await storage.close()
      await rm(join(folder, 'control.snapshot'))
    }
  }
]

const unusableCases: DamageCase[] = [
  {
    fault: 'its path is a file',
    damage: async (folder) => {
      await rm(folder, { recursive: true })
      await writeFile(folder, 'file')
    }
  },
  { fault: 'its parent is missing', damage: (folder) => rm(join(folder, '..'), { recursive: true }) },
  {
    fault: 'its log can not be read',
    damage: async (folder) => {
      await writeTestEntries(folder)
      await rename(join(folder, 'control.log'), join(folder, 'moved.log'))
      await mkdir(join(folder, 'control.log'))
    }
  }
]

for (const [table, name] of [[damageCases, 'logDamaged'], [unusableCases, 'dataFolderUnusable']] as const) {
  for (const { fault, damage } of table) {
    t.test(`${name} is reported and no file changes: ${fault}`, async (t) => {
      const folder = await createFolderPath(t)
      await writeTestEntries(folder)
      await damage(folder)
      const before = await readAll(folder)
      const opened = await openControlStorage(folder)
      t.equal(opened._unsafeUnwrapErr().code, resultCodes[name].code)
      t.same(await readAll(folder), before)
    })
  }
}

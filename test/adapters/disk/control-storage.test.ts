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

const entry = (index: number, term: number): LogEntry => ({ index, term, payload: { kind: 'command', command: buildManifestCommand(index - 1, `content ${index}`) } })
const vote = { term: 3, votedFor: memberId('other') }
const snapshot: LogSnapshot = { index: 2, term: 1, cluster: clusterId('c1'), members: [], state: { ...createEmptyReplicatedState(), manifestVersion: 2 } }

async function newFolder (t: Test): Promise<string> {
  const parent = await mkdtemp(join(tmpdir(), 'catkinrelay-disk-'))
  t.teardown(() => rm(parent, { recursive: true, force: true }))
  return join(parent, 'data')
}

async function openFolder (folder: string): Promise<OpenedControlStorage> {
  return (await openControlStorage(folder))._unsafeUnwrap()
}

/** Writes a vote, three entries and a conflicting fourth, each by its own sync. */
async function fill (folder: string): Promise<RestoredMember> {
  const { storage, restored } = await openFolder(folder)
  await storage.persist([{ kind: 'vote', vote }])
  for (const index of [1, 2, 3]) await storage.persist([{ kind: 'entries', entries: [entry(index, 1)] }])
  await storage.persist([{ kind: 'entries', entries: [entry(3, 2), entry(4, 2)] }])
  await storage.close()
  return restored
}

/** @returns the names and contents of all files; a path that can't be read stands for its error */
async function readAll (folder: string): Promise<string[]> {
  const names = await readdir(folder).catch((error: NodeJS.ErrnoException) => [String(error.code)])
  return await Promise.all(names.map(async (name) => name + await readFile(join(folder, name), 'hex').catch(() => 'unreadable')))
}

t.test('a restart returns the votes and entries that were synced, with replaced entries gone', async (t) => {
  const folder = await newFolder(t)
  const { member } = await fill(folder)
  const { restored, cutBytes, storage } = await openFolder(folder)
  t.same(restored, { member, vote, snapshot: null, entries: [entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 2)] })
  t.equal(cutBytes, 0)
  await storage.close()
})

t.test('a snapshot replaces the log, and a crash before the shortened log is in place loses no entry after it', async (t) => {
  const folder = await newFolder(t)
  await fill(folder)
  const longLog = await readFile(join(folder, 'control.log'))
  const { storage, restored } = await openFolder(folder)
  await Promise.all([
    storage.persist([{ kind: 'snapshot', snapshot, vote, entries: restored.entries.slice(2) }]),
    storage.persist([{ kind: 'entries', entries: [entry(5, 3)] }])
  ])
  await storage.close()
  const again = await openFolder(folder)
  t.same(again.restored, { ...restored, snapshot, entries: [entry(3, 2), entry(4, 2), entry(5, 3)] })
  await again.storage.close()
  await writeFile(join(folder, 'control.log'), longLog)
  const afterCrash = await openFolder(folder)
  t.same(afterCrash.restored, { ...restored, snapshot, entries: [entry(3, 2), entry(4, 2)] })
  await afterCrash.storage.close()
})

t.test('a torn last record is cut off at every length, and the log takes new records after it', async (t) => {
  const folder = await newFolder(t)
  await fill(folder)
  const log = join(folder, 'control.log')
  const whole = await readFile(log)
  const { storage } = await openFolder(folder)
  await storage.persist([{ kind: 'entries', entries: [entry(5, 3)] }])
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
    await opened.storage.persist([{ kind: 'entries', entries: [entry(5, 4)] }])
    await opened.storage.close()
    const again = await openFolder(folder)
    t.same(again.restored.entries.at(-1), entry(5, 4))
    await again.storage.close()
  }
})

t.test('several appends share one sync', async (t) => {
  const folder = await newFolder(t)
  const { storage } = await openFolder(folder)
  const { length: emptyLength } = await readFile(join(folder, 'control.log'))
  await Promise.all([1, 2, 3].map((index) => storage.persist([{ kind: 'entries', entries: [entry(index, 1)] }])))
  await storage.close()
  const log = await readFile(join(folder, 'control.log'))
  t.equal(emptyLength + 8 + log.readUInt32BE(emptyLength), log.length, 'the three appends are one record')
})

interface DamageCase {
  guards: string
  damage: (folder: string) => Promise<void>
}

async function changeLog (folder: string, change: (log: Buffer) => Buffer): Promise<void> {
  const path = join(folder, 'control.log')
  await writeFile(path, change(await readFile(path)))
}

const invert = (offset: number) => (log: Buffer): Buffer => {
  log.writeUInt8(log.readUInt8(offset) ^ 0xff, offset)
  return log
}
const firstRecordEnd = (log: Buffer): number => 8 + log.readUInt32BE(0)

const damages: DamageCase[] = [
  { guards: 'a changed byte in the middle', damage: (folder) => changeLog(folder, (log) => invert(firstRecordEnd(log) + 10)(log)) },
  { guards: 'a changed length, which looks like a torn tail', damage: (folder) => changeLog(folder, (log) => invert(firstRecordEnd(log))(log)) },
  { guards: 'a changed byte in the first record', damage: (folder) => changeLog(folder, invert(12)) },
  {
    guards: 'a record missing in the middle',
    damage: (folder) => changeLog(folder, (log) => {
      const start = firstRecordEnd(log)
      const second = start + 8 + log.readUInt32BE(start)
      const end = second + 8 + log.readUInt32BE(second)
      return Buffer.concat([log.subarray(0, second), log.subarray(end)])
    })
  },
  { guards: 'an emptied log', damage: (folder) => changeLog(folder, () => Buffer.alloc(0)) },
  { guards: 'a missing log, whose vote is forgotten', damage: (folder) => rm(join(folder, 'control.log')) },
  { guards: 'a missing member id', damage: (folder) => rm(join(folder, 'member-id')) },
  { guards: 'the member id of another folder', damage: (folder) => writeFile(join(folder, 'member-id'), 'other') },
  { guards: 'a damaged snapshot', damage: (folder) => writeFile(join(folder, 'control.snapshot'), 'not a snapshot') },
  {
    guards: 'a missing snapshot',
    damage: async (folder) => {
      const { storage, restored } = await openFolder(folder)
      await storage.persist([{ kind: 'snapshot', snapshot, vote, entries: restored.entries.slice(2) }])
      await storage.close()
      await rm(join(folder, 'control.snapshot'))
    }
  }
]

const unusable: DamageCase[] = [
  {
    guards: 'its path is a file',
    damage: async (folder) => {
      await rm(folder, { recursive: true })
      await writeFile(folder, 'file')
    }
  },
  { guards: 'its parent is missing', damage: (folder) => rm(join(folder, '..'), { recursive: true }) },
  {
    guards: 'its log can not be read',
    damage: async (folder) => {
      await fill(folder)
      await rename(join(folder, 'control.log'), join(folder, 'moved.log'))
      await mkdir(join(folder, 'control.log'))
    }
  }
]

for (const [table, name] of [[damages, 'logDamaged'], [unusable, 'dataFolderUnusable']] as const) {
  for (const { guards, damage } of table) {
    t.test(`${name} is reported and nothing is changed: ${guards}`, async (t) => {
      const folder = await newFolder(t)
      await fill(folder)
      await damage(folder)
      const before = await readAll(folder)
      const opened = await openControlStorage(folder)
      t.equal(opened._unsafeUnwrapErr().code, resultCodes[name].code)
      t.same(await readAll(folder), before)
    })
  }
}

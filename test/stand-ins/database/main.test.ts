// Guards against a program that runs with other settings than its file has, or that can't replicate between processes. This happens
// when a misspelt setting is ignored and its default applies.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import t, { type Test } from 'tap'
import { createDatabaseOrders } from '../../../src/adapters/postgres/database-orders.js'
import { address, type Address } from '../../../src/types/ids.js'
import { connectClient, credentials, longTimeoutOptions, startDatabases } from './fixture/start-group.js'

const binaryPath = fileURLToPath(new URL('../../../stand-ins/database/main.js', import.meta.url))
const orders = createDatabaseOrders(longTimeoutOptions)

function writeSettingsFile (t: Test, settings: unknown): string {
  const folder = mkdtempSync(join(tmpdir(), 'catkinrelay-stand-in-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const path = join(folder, 'settings.json')
  writeFileSync(path, JSON.stringify(settings))
  return path
}

async function startBinary (t: Test, settings: unknown): Promise<Address> {
  const child = spawn(process.execPath, [binaryPath, writeSettingsFile(t, settings)], { stdio: ['ignore', 'pipe', 'inherit'] })
  t.teardown(async () => {
    child.kill('SIGTERM')
    if (child.exitCode === null) await once(child, 'exit')
  })
  const [line] = await once(child.stdout, 'data') as [Buffer]
  return address(String(line).trim().replace('listening on ', ''))
}

t.test('a stand-in in its own process replicates from a primary in another process', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const settings = { database: 'g-2', group: 'g', failureDomain: 'domain-2', firstPrimary: primary.address(), password: credentials.password }
  const replica = await startBinary(t, settings)
  await (await connectClient(t, primary)).query("insert into kv (key, value) values ('k', '1')")
  const expected = primary.status().position.offset
  let status = (await orders.status(replica))._unsafeUnwrap()
  while (status.position.offset < expected) status = (await orders.status(replica))._unsafeUnwrap()
  t.match(status, { database: 'g-2', role: 'replica', term: 1 })
})

t.test('invalid settings end the program with an error that names them; no default replaces them', async (t) => {
  const child = spawn(process.execPath, [binaryPath, writeSettingsFile(t, { database: 'g-2', slot: 5 })], { stdio: ['ignore', 'ignore', 'pipe'] })
  let errors = ''
  child.stderr.on('data', (part: Buffer) => { errors += part.toString() })
  const [code] = await once(child, 'close') as [number]
  t.equal(code, 1)
  t.match(errors, /slot/)
})

// Scripts decide by exit codes whether a commit was accepted, and operators read the text on a phone. A wrong code, a wide line
// or a printed secret would show only in production.
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import type { Test } from 'tap'
import { runCommandLine } from '../../src/operator/command-line.js'
import type { FakeLog } from '../support/operator-fixtures.js'
import { CREDENTIAL, KEY_DIGEST, LONG_NAME, createFakeLog, createTestService, manifest, serveOperators } from '../support/operator-fixtures.js'

const folder = mkdtempSync(join(tmpdir(), 'catkinrelay-operator-'))
t.teardown(() => { rmSync(folder, { recursive: true }) })

function writeFile (name: string, content: unknown): string {
  const path = join(folder, name)
  writeFileSync(path, typeof content === 'string' ? content : JSON.stringify(content, null, 2))
  return path
}

const manifestFile = writeFile('manifest.json', manifest)
const otherFile = writeFile('other.json', { ...manifest, workspaces: manifest.workspaces.map((workspace) => ({ ...workspace, rate: 99, keys: [{ id: 'shop-1', digest: 'b'.repeat(64) }, { id: 'shop-2', digest: 'c'.repeat(64) }] })) })
const credentialFile = writeFile('credential', `${CREDENTIAL}\n`)
const wrongFile = writeFile('wrong', 'not-the-credential')

async function run (args: string[]): Promise<{ exitCode: number, out: string, error: string, all: string }> {
  let out = ''
  let error = ''
  const exitCode = await runCommandLine(args, { out: (text) => { out += text }, error: (text) => { error += text }, pause: async () => {} })
  return { exitCode, out, error, all: out + error }
}

async function serve (t: Test, log: FakeLog = createFakeLog()): Promise<string[]> {
  const server = await serveOperators(createTestService(log))
  t.teardown(() => server.close())
  return ['--control', server.address, '--credential-file', credentialFile]
}

t.test('a commit, a retry, a conflict and an unknown outcome have the documented exit codes', async (t) => {
  const log = createFakeLog()
  const flags = await serve(t, log)
  const commit = async (path: string, base: string): Promise<{ exitCode: number, all: string }> => await run(['manifest', 'commit', path, '--base', base, ...flags])
  t.equal((await commit(manifestFile, '0')).exitCode, 0)
  const resent = await commit(manifestFile, '0')
  t.equal(resent.exitCode, 0)
  t.match(resent.all, /earlier\s+sending/)
  const conflict = await commit(otherFile, '0')
  t.equal(conflict.exitCode, 3)
  t.match(conflict.all, /version 1 is in\s+force/)
  t.match(conflict.all, /Version 1: content [0-9a-f]{12},\s+committed by alice/)
  t.match((await commit(manifestFile, '5')).all, /Version 1:/, 'a base above the current version')
  log.fail = { kind: 'unknown' }
  log.applyOnFailure = true
  t.equal((await commit(otherFile, '1')).exitCode, 4)
  log.fail = null
  t.equal((await commit(otherFile, '1')).exitCode, 0, 'it is safe to repeat the same command')
})

t.test('a command skips an unreachable instance and one that is not the leader', async (t) => {
  const follower = createFakeLog()
  follower.fail = { kind: 'not-leader', leaderAddress: null }
  const [, followerAddress = ''] = await serve(t, follower)
  const flags = await serve(t)
  const { exitCode } = await run(['manifest', 'commit', manifestFile, '--base', '0', '--control', '127.0.0.1:1', '--control', followerAddress, ...flags])
  t.equal(exitCode, 0)
})

t.test('a command reaches a leader that only another instance names', async (t) => {
  const [, leaderAddress = ''] = await serve(t)
  const follower = createFakeLog()
  follower.fail = { kind: 'not-leader', leaderAddress: null }
  follower.leaderAddress = () => leaderAddress as never
  t.equal((await run(['manifest', 'show', ...await serve(t, follower)])).exitCode, 0)
})

t.test('a wrong credential has the exit code 6, and no reachable leader has 5', async (t) => {
  const [, address = ''] = await serve(t)
  t.equal((await run(['status', '--control', address, '--credential-file', wrongFile])).exitCode, 6)
  const down = await run(['manifest', 'commit', manifestFile, '--base', '0', '--control', '127.0.0.1:1', '--credential-file', credentialFile])
  t.equal(down.exitCode, 5, 'the outcome of a commit that was never sent is not unknown')
})

t.test('the first line of a report states a missing leadership confirmation', async (t) => {
  const log = createFakeLog()
  const flags = await serve(t, log)
  await run(['manifest', 'commit', manifestFile, '--base', '0', ...flags])
  log.fail = { kind: 'not-leader', leaderAddress: null }
  const { exitCode, all } = await run(['report', 'in-force', ...flags])
  t.equal(exitCode, 5)
  t.match(all, /^NOT PROVEN/)
  t.notMatch(all, /entry-1|version 1/)
})

const badCommands: [string, string[], RegExp][] = [
  ['malformed JSON', ['manifest', 'check', writeFile('malformed.json', '{\n"formatVersion": 1,\n"groups": [}\n')], /line 3/],
  ['a repeated field', ['manifest', 'check', writeFile('repeated.json', '{\n"groups": [],\n"groups": []}')], /line 3/],
  ['a wrong value deep in a manifest', ['manifest', 'check', writeFile('deep.json', { ...manifest, groups: [{ id: 'g', slots: 0, connections: 30 }] })], /line 16 groups\[0\]\.slots/],
  ['an unknown reference', ['manifest', 'check', writeFile('reference.json', { ...manifest, routes: [{ name: 'r', workspace: 'w', statement: 's', access: 'read' }] })], /routes\[0\]\.workspace/],
  ['a file that does not exist', ['manifest', 'check', join(folder, 'none.json')], /ENOENT/],
  ['a commit without a base', ['manifest', 'commit', manifestFile], /--base/],
  ['a base that is not a number', ['manifest', 'commit', manifestFile, '--base', '-1'], /version number/],
  ['no control address', ['status', '--credential-file', credentialFile], /--control/],
  ['no credential', ['status', '--control', '127.0.0.1:1'], /--credential-file/],
  ['an address without a port', ['status', '--control', 'localhost', '--credential-file', credentialFile], /host:port/],
  ['an unknown command', ['manifests'], /unknown command/],
  ['an unknown kind of settings', ['settings', 'check', manifestFile, '--kind', 'other'], /kind/]
]
for (const [fault, args, expected] of badCommands) {
  t.test(`${fault} has the exit code 2 and an error text of at most 40 columns`, async (t) => {
    const { exitCode, out, error } = await run(args)
    t.equal(exitCode, 2)
    t.match(error.replaceAll(/\s+/g, ' '), expected)
    t.equal(out, '')
    t.ok(error.split('\n').every((line) => line.length <= 40), error)
    const json = await run([...args, '--json'])
    t.equal((JSON.parse(json.out) as { exitCode: number }).exitCode, 2, 'JSON output contains every failure')
    t.equal(json.error, '')
  })
}

t.test('report burn --html writes a page, and fails for a file that can not be written', async (t) => {
  const flags = await serve(t)
  const page = join(folder, 'burn.html')
  t.equal((await run(['report', 'burn', '--html', page, ...flags])).exitCode, 0)
  t.match(readFileSync(page, 'utf8'), /^<!doctype html>/)
  t.equal((await run(['report', 'burn', '--html', join(folder, 'none', 'burn.html'), ...flags])).exitCode, 2)
})

t.test('settings check lists every problem with its line and quotes no secret', async (t) => {
  const secret = 'cluster-secret-0123456789'
  const settings = writeFile('settings.json', { instance: '', clusterSecret: secret, operators: { port: 'x' } })
  const { exitCode, out } = await run(['settings', 'check', settings, '--kind', 'control', '--json'])
  t.equal(exitCode, 2)
  const { problems } = JSON.parse(out) as { problems: { path: string, line: number }[] }
  t.same(problems.filter(({ path }) => path === 'instance' || path === 'operators.port').map(({ path, line }) => [path, line]), [['instance', 2], ['operators.port', 5]])
  const broken = writeFile('broken.json', `{ "clusterSecret": ${secret}`)
  t.notMatch((await run(['settings', 'check', broken, '--kind', 'control'])).all, /secret-0123/)
})

t.test('manifest diff shows the ids of keys and never their digests', async (t) => {
  const flags = await serve(t)
  await run(['manifest', 'commit', manifestFile, '--base', '0', ...flags])
  for (const json of [[], ['--json']]) {
    const { exitCode, all } = await run(['manifest', 'diff', otherFile, ...flags, ...json])
    t.equal(exitCode, 0)
    t.match(all, /key\s+shop-2/)
    t.match(all, /digest/, 'a changed digest is listed')
    t.notMatch(all, /b{64}|c{64}|fingerprint/)
    t.notOk(all.includes(KEY_DIGEST))
  }
})

t.test('no command prints a credential or the digest of a key, and text has at most 40 columns', async (t) => {
  const flags = await serve(t)
  await run(['manifest', 'commit', manifestFile, '--base', '0', ...flags])
  const commands = [['manifest', 'show'], ['status'], ...['in-force', 'burn', 'workspaces', 'failure-domains', 'incidents'].map((name) => ['report', name])]
  for (const command of commands) {
    const text = await run([...command, ...flags])
    const json = await run([...command, ...flags, '--json'])
    t.equal(text.exitCode, 0, command.join(' '))
    t.ok(text.out.split('\n').every((line) => line.length <= 40), text.out)
    t.equal((JSON.parse(json.out) as { exitCode: number }).exitCode, 0)
    for (const secret of [KEY_DIGEST, CREDENTIAL, 'fingerprint']) t.notOk((text.all + json.all).includes(secret), command.join(' '))
  }
})

t.test('a command reads its connection options from an operator settings file', async (t) => {
  const [, address = ''] = await serve(t)
  const settings = writeFile('operator.json', { control: [address], credentialFile })
  t.equal((await run(['status', '--settings', settings])).exitCode, 0)
})

t.test('key new prints a random key of one line and its digest', async (t) => {
  const first = JSON.parse((await run(['key', 'new', '--json'])).out) as { key: string, digest: string }
  const second = JSON.parse((await run(['key', 'new', '--json'])).out) as { key: string, digest: string }
  t.match(first.key, /^[\w-]{40}$/)
  t.match(first.digest, /^[0-9a-f]{64}$/)
  t.not(first.key, second.key)
})

t.test('a long name is wrapped and not truncated', async (t) => {
  const flags = await serve(t)
  await run(['manifest', 'commit', manifestFile, '--base', '0', ...flags])
  const { out } = await run(['report', 'workspaces', ...flags])
  t.ok(out.replaceAll(/\s/g, '').includes(LONG_NAME))
})

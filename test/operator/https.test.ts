// A renewed certificate takes effect by a reload, without a restart. A command that connects to an instance with an untrusted
// certificate must not send its credential and commit, and must not report an unknown outcome.
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { runCommandLine } from '../../src/operator/command-line.js'
import { CREDENTIAL, createFakeLog, createTestService, manifest, serveOperators } from '../support/operator-fixtures.js'

const folder = mkdtempSync(join(tmpdir(), 'catkinrelay-https-'))
t.teardown(() => { rmSync(folder, { recursive: true }) })
const keyFile = join(folder, 'key.pem')
const certificateFile = join(folder, 'certificate.pem')
const credentialFile = join(folder, 'credential')
const manifestFile = join(folder, 'manifest.json')
writeFileSync(credentialFile, CREDENTIAL)
writeFileSync(manifestFile, JSON.stringify(manifest))

function installKeyFiles (pair: 'first' | 'second'): void {
  copyFileSync(`test/fixtures/${pair}.key.pem`, keyFile)
  copyFileSync(`test/fixtures/${pair}.certificate.pem`, certificateFile)
}

t.test('a reload reads the key files again, and an untrusted instance receives no commit', async (t) => {
  installKeyFiles('first')
  const log = createFakeLog()
  const server = await serveOperators(createTestService(log), 64 * 1024, { keyFile, certificateFile })
  t.teardown(() => server.close())
  const commit = async (authority: 'first' | 'second', base: number): Promise<number> => await runCommandLine(
    ['manifest', 'commit', manifestFile, '--base', String(base), '--control', server.address, '--credential-file', credentialFile, '--authority-file', `test/fixtures/${authority}.certificate.pem`],
    { out: () => {}, error: () => {}, pause: async () => {} })

  t.equal(await commit('second', 0), 5, 'nothing was sent, so the outcome is not unknown')
  t.equal(log.state().manifestVersion, 0)
  t.equal(await commit('first', 0), 0)
  installKeyFiles('second')
  t.equal(await commit('first', 1), 0, 'the instance uses the former key files until the reload')
  server.reloadTls()
  t.equal(await commit('second', 2), 0)
  t.equal(await commit('first', 3), 5)
})

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

function install (pair: 'first' | 'second'): void {
  copyFileSync(`test/fixtures/${pair}.key.pem`, keyFile)
  copyFileSync(`test/fixtures/${pair}.certificate.pem`, certificateFile)
}

t.test('key files are read again on reload, and an instance that is not trusted gets no commit', async (t) => {
  install('first')
  const log = createFakeLog()
  const server = await serveOperators(createTestService(log), 64 * 1024, { keyFile, certificateFile })
  t.teardown(() => server.close())
  const commit = async (authority: 'first' | 'second', base: number): Promise<number> => await runCommandLine(
    ['manifest', 'commit', manifestFile, '--base', String(base), '--control', server.address, '--credential-file', credentialFile, '--authority-file', `test/fixtures/${authority}.certificate.pem`],
    { out: () => {}, error: () => {}, pause: async () => {} })

  t.equal(await commit('second', 0), 5, 'nothing was sent, so the outcome is known')
  t.equal(log.state().manifestVersion, 0)
  t.equal(await commit('first', 0), 0)
  install('second')
  t.equal(await commit('first', 1), 0, 'the old pair serves until the reload')
  server.reloadTls()
  t.equal(await commit('second', 2), 0)
  t.equal(await commit('first', 3), 5)
})

// Runs tap and prints failures. A failed test whose title KNOWN-RED.txt lists does not count as failed.
// The last line is "N passed, N failed", which CI reads.
// The tests of misbehaving clients measure memory and descriptors of processes, so they run one at a time, after all others.
import { spawn, spawnSync } from 'node:child_process'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { createInterface } from 'node:readline'

const TEST_LINE = /^ {4}(not ok|ok) \d+ - (.*?)(?: # time=.*)?(?: \{)?$/
const TESTS_FOLDER = 'dist/test'
const ALONE_FOLDER = 'hostile-clients'
/** Arguments for tests that run alone. A whole file has several processes to start for each of its tests. */
const ALONE_ARGUMENTS = ['--jobs=1', '--timeout=1500']
const FILE_LINE = /^(not ok|ok) \d+ - (.*?)(?: # time=.*)?(?: \{)?$/

function readKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim()))
}

const knownRedTitles = readKnownRed()
let passed = 0
let failed = 0
let brokenFiles = 0
const output = []
const failedKnownRed = []

async function runTap (tapArguments) {
  const tap = spawn('node_modules/.bin/tap', ['run', '--reporter=tap', ...tapArguments], { stdio: ['ignore', 'pipe', 'inherit'] })
  let fileTests = []

  for await (const line of createInterface({ input: tap.stdout })) {
    output.push(line)
    const test = TEST_LINE.exec(line)
    if (test !== null) {
      fileTests.push({ ok: test[1] === 'ok', name: test[2] })
      continue
    }
    const file = FILE_LINE.exec(line)
    if (file === null) continue
    let unexpectedFailures = 0
    let knownFailures = 0
    for (const { ok, name } of fileTests) {
      if (ok) {
        passed++
        continue
      }
      if (knownRedTitles.has(name)) {
        failedKnownRed.push(name)
        knownFailures++
        continue
      }
      unexpectedFailures++
    }
    failed += unexpectedFailures
    // A file can fail without a failed test: it crashed, timed out or contains no test.
    if (file[1] === 'not ok' && unexpectedFailures === 0 && knownFailures === 0) brokenFiles++
    fileTests = []
  }
  await new Promise((resolve) => tap.exitCode === null ? tap.once('close', resolve) : resolve())
}

const requested = process.argv.slice(2)
const runsAlone = (argument) => argument.split('/').includes(ALONE_FOLDER)
const together = requested.length > 0 ? requested.filter((argument) => !runsAlone(argument)) : readdirSync(TESTS_FOLDER).filter((name) => name !== ALONE_FOLDER).map((name) => `${TESTS_FOLDER}/${name}`)
const alone = requested.length > 0 ? requested.filter(runsAlone) : [`${TESTS_FOLDER}/${ALONE_FOLDER}`]
if (together.length > 0) await runTap(together)
if (alone.length > 0) {
  // These tests start the program that the deploy file starts.
  spawnSync(process.execPath, ['scripts/bundle.mjs'], { stdio: 'inherit' })
  await runTap([...ALONE_ARGUMENTS, ...alone])
}

failed += brokenFiles
if (failed > 0 || passed === 0) console.log(output.filter((line) => !/^\s*(# Subtest|ok |1\.\.\d|$)/.test(line)).join('\n'))
for (const name of failedKnownRed) console.log(`known red: ${name}`)
console.log(`${passed} passed, ${failed} failed`)
process.exitCode = failed > 0 || passed === 0 ? 1 : 0

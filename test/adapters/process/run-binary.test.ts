import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import t from 'tap'
import { z } from 'zod'
import { runBinary } from '../../../src/adapters/process/run-binary.js'

// Guards against a process that ends, with all its requests, because SIGHUP came while a TLS file was being replaced.
t.test('a reload that fails leaves the process running', async (t) => {
  const file = join(t.testdir(), 'settings.json')
  await writeFile(file, '{}')
  process.argv.push('--settings', file)
  let reloads = 0
  await runBinary({
    name: 'test',
    description: 'test',
    schema: z.object({}),
    start: async () => ({
      drain: async () => {},
      reloadTls: () => {
        reloads++
        throw new Error('no start line')
      }
    })
  })
  t.doesNotThrow(() => { process.emit('SIGHUP') })
  t.equal(reloads, 1)
})

// Guards against a process that ends because its settings file changes while it starts: Node ends on SIGHUP until a listener is set.
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'

t.test('the bundled program handles SIGHUP before it does anything else', async (t) => {
  // A file of its own, since other tests run the program meanwhile.
  const outfile = join(t.testdir(), 'program.cjs')
  execFileSync(process.execPath, ['scripts/bundle.mjs', outfile])
  const [directive, first] = readFileSync(outfile, 'utf8').slice(0, 200).split(';')
  t.equal(directive, "'use strict'", 'the directive counts only as the first statement')
  t.equal(first, "process.on('SIGHUP',()=>{})")
})

import t from 'tap'
import { createLineWriter } from '../../../src/adapters/logs/create-line-writer.js'

/** Guards against a process that blocks or grows without limit when its output is slow or its log lines are many. */

t.test('lines above the rate are dropped, counted and reported', async (t) => {
  let now = 0
  const written: string[] = []
  let flush = (): void => {}
  const writer = createLineWriter({
    now: () => now,
    callLater: (callback) => { flush = callback },
    burst: 3,
    linesPerSecond: 10,
    composeDroppedLine: (dropped) => `dropped ${dropped}`,
    writeText: (text, done) => {
      written.push(text)
      done()
    }
  })
  for (let line = 1; line <= 5; line++) writer.write(`line ${line}`)
  now = 1000
  writer.write('later')
  flush()
  t.equal(written.join(''), 'line 1\nline 2\nline 3\ndropped 2\nlater\n')
  t.equal(writer.countDropped(), 2)
})

t.test('a blocked output does not block the writer, and the queue stays bounded', async (t) => {
  const writer = createLineWriter({ now: () => 0, burst: 1000, maxQueuedBytes: 100, composeDroppedLine: () => '', writeText: () => {} })
  for (let line = 0; line < 500; line++) writer.write('x'.repeat(9))
  t.equal(writer.countDropped(), 489)
})

t.test('the lines queued at the end of the process are written', async (t) => {
  const written: string[] = []
  const writer = createLineWriter({ now: () => 0, callLater: () => {}, composeDroppedLine: () => '', writeTextNow: (text) => { written.push(text) } })
  writer.write('last line')
  writer.writeQueuedLines()
  writer.writeQueuedLines()
  t.same(written, ['last line\n'])
})

t.test('the queue is bounded in bytes, also when characters have several', async (t) => {
  const writer = createLineWriter({ now: () => 0, burst: 1000, maxQueuedBytes: 100, composeDroppedLine: () => '', writeText: () => {} })
  for (let line = 0; line < 500; line++) writer.write('ợ'.repeat(9))
  t.equal(writer.countDropped(), 496)
})

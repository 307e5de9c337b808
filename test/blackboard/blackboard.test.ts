// Guards against two controllers that overwrite each other's values, and against readers that miss writes because they were created first.
import t from 'tap'
import { createBlackboard, defineEntry } from '../../src/blackboard/blackboard.js'

const counter = defineEntry('counter', 0)

t.test('a second writer of an entry is refused, so that two controllers cannot overwrite each other', async (t) => {
  const blackboard = createBlackboard()
  blackboard.claim(counter, 'first')
  t.throws(() => blackboard.claim(counter, 'second'), /written by first/)
})

t.test('a reader created before the first write sees later writes', async (t) => {
  const blackboard = createBlackboard()
  const reader = blackboard.reader(counter)
  const receivedValues: number[] = []
  reader.onWrite((value) => receivedValues.push(value))
  t.equal(reader.read(), 0)
  blackboard.claim(counter, 'first').write(7)
  t.equal(reader.read(), 7)
  t.same(receivedValues, [7])
})

import { ok } from 'neverthrow'
import t from 'tap'
import { createRecordedInstances } from '../../src/control/recorded-instances.js'
import type { ControlLog } from '../../src/types/control-log.js'
import type { InstanceId } from '../../src/types/ids.js'
import { instanceId } from '../../src/types/ids.js'
import type { Command } from '../../src/types/replicated-state.js'
import { createFakeClock } from '../support/fake-clock.js'

const A = instanceId('a')

/** A log that commits a command when the test says so. */
function createHarness (instances: InstanceId[]) {
  let recorded = instances
  const open: { command: Command, commit: () => void }[] = []
  const log = {
    state: () => ({ instances: recorded }),
    propose: async (command: Command) => await new Promise((resolve) => {
      open.push({
        command,
        commit: () => {
          if (command.kind === 'forget-instance') recorded = recorded.filter((instance) => instance !== command.instance)
          if (command.kind === 'record-instance') recorded = [...recorded, command.instance]
          resolve(ok({}))
        }
      })
    })
  }
  const parts = createRecordedInstances({ clock: createFakeClock(), log: log as unknown as ControlLog, isEnabled: true, isRegistered: () => true, onRecorded: () => {} })
  return { parts, open, settle: async () => await new Promise((resolve) => { setImmediate(resolve) }) }
}

t.test('an instance that left is forgotten, and its next run holds nothing before it is recorded again', async (t) => {
  const { parts, open, settle } = createHarness([A])
  t.equal(parts.ensureRecorded(A), true)
  parts.remove(A)
  t.match(open[0]?.command, { kind: 'forget-instance', instance: 'a' })
  t.equal(parts.ensureRecorded(A), false, 'the next leader would not wait for it')
  open[0]?.commit()
  await settle()
  t.equal(parts.ensureRecorded(A), false)
  t.match(open[1]?.command, { kind: 'record-instance', instance: 'a' })
  open[1]?.commit()
  await settle()
  t.equal(parts.ensureRecorded(A), true)
})

import { err, ok } from 'neverthrow'
import t from 'tap'
import type { LimiterMessage } from '../../src/decisions/limits/workspace-limiter.js'
import { createAdmission } from '../../src/entry/session-admission.js'
import { addTime } from '../../src/types/clock.js'
import type { DirectoryInstance } from '../../src/types/directory.js'
import { address, failureDomainId, incarnationId, instanceId, workspaceId } from '../../src/types/ids.js'
import type { SessionRefusal } from '../../src/types/session-statement.js'
import { createFakeClock } from '../support/fake-clock.js'

const W = workspaceId('w')
const refused: SessionRefusal = { result: 'rateExceeded', promise: 'nothing-kept', message: 'used up', retryAfterMs: 30 }

/** Admission at an instance of a fleet; `answers` are what holders say, in the order in which they are asked. */
function createHarness (size: number, answers: (SessionRefusal | null | 'unsent')[], name = 'nobody') {
  const clock = createFakeClock()
  const instances: DirectoryInstance[] = Array.from({ length: size }, (_, index) => ({
    instance: instanceId(`e${index}`), incarnation: incarnationId(`e${index}.1`), peerAddress: address(`e${index}:1`), failureDomain: failureDomainId('f'), draining: false
  }))
  const asked: string[] = []
  const admittedHere: LimiterMessage[] = []
  const admission = createAdmission({
    clock,
    instance: instanceId(name),
    instances: () => instances,
    onDemand: () => {},
    limiter: {
      handle: (message) => {
        admittedHere.push(message)
        return message.kind === 'admit' ? [{ kind: 'admitted', requestId: message.requestId, waitedMs: 0 }] : []
      },
      tick: () => [],
      demand: () => [],
      nextTickAt: () => null
    },
    calls: {
      call: async (peer) => {
        asked.push(peer.instance)
        const answer = answers.shift()
        return answer === 'unsent' || answer === undefined ? err('unsent') : ok({ kind: 'token', refusal: answer })
      },
      endLoan: () => {},
      avoid: () => {},
      canRequest: () => true
    }
  })
  return { admission, asked, admittedHere, admit: () => admission.admit(W, addTime(clock.now(), 1000)) }
}

t.test('in a small fleet the instance spends its own share', async (t) => {
  const harness = createHarness(9, [])
  t.equal(await harness.admit(), null)
  t.same([harness.asked.length, harness.admittedHere.length], [0, 1])
})

t.test('in a large fleet a holder of the rate is asked', async (t) => {
  const harness = createHarness(67, [null])
  t.equal(await harness.admit(), null)
  t.same([harness.asked.length, harness.admittedHere.length], [1, 0])
})

t.test('a holder that can not be reached is passed over, and one that refuses is not the last word', async (t) => {
  t.equal(await createHarness(67, ['unsent', null]).admit(), null)
  t.equal(await createHarness(67, [refused, null]).admit(), null)
})

t.test('an operation is refused once two holders refused it, and never admitted when no holder answers', async (t) => {
  const harness = createHarness(67, [refused, refused, null])
  t.match(await harness.admit(), { result: 'rateExceeded', retryAfterMs: 30 })
  t.equal(harness.asked.length, 2)
  t.match(await createHarness(67, ['unsent', 'unsent', 'unsent']).admit(), { result: 'notFresh', promise: 'nothing-kept' })
})

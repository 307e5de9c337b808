import t from 'tap'
import { checkConsensusMessage } from '../../src/control/consensus-message-schema.js'
import { headerFrom, logOfTerms } from '../fixtures/single-member.js'

const append = { ...headerFrom(2, 1), kind: 'append', entryAddress: 'entry', round: 1, previousIndex: 0, previousTerm: 0, entries: logOfTerms([1]), commitIndex: 0 }

const malformed: { guards: string, value: unknown }[] = [
  { guards: 'something that is no object', value: 'append' },
  { guards: 'an unknown kind', value: { ...append, kind: 'other' } },
  { guards: 'another format version', value: { ...append, version: 2 } },
  { guards: 'a term that is no whole number', value: { ...append, term: 1.5 } },
  { guards: 'an unknown payload, which this release could not apply', value: { ...append, entries: [{ index: 1, term: 1, payload: { kind: 'other' } }] } },
  { guards: 'a gap between entries', value: { ...append, entries: logOfTerms([1, 1]).filter((entry) => entry.index !== 2) } }
]

for (const { guards, value } of malformed) {
  t.test(`a message is dropped when it has ${guards}`, async (t) => {
    t.equal(checkConsensusMessage(value), null)
    t.equal(checkConsensusMessage(append), append, 'the whole message is taken')
  })
}

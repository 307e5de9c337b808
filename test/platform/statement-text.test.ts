import fc from 'fast-check'
import t from 'tap'
import { parseStatement, formatStatement } from '../../platform/statement-text.js'

/** Guards against statements that change on the way to the database, and against caller input that raises an exception. */

const texts = ['BEGIN', 'BEGIN READ', 'COMMIT', 'ROLLBACK', 'READ 1a4', 'WRITE 1a4 xkq pwn', 'SET zone a  b', 'PREPARE s1 WRITE q2c', 'EXECUTE s1 1a4 xkq', 'DEALLOC s1']

for (const text of texts) {
  t.test(`${text} is forwarded unchanged`, async (t) => {
    const statement = parseStatement(text)
    t.ok(statement)
    if (statement !== null) t.equal(formatStatement(statement, null), text)
  })
}

for (const text of ['', 'READ', 'DROP x', 'PREPARE s1 q2c', 'EXECUTE s1', 'BEGIN WRITE', 'AFTER 3.1 READ x', 'COMMIT now', 'SET']) {
  t.test(`'${text}' is not accepted from a caller`, async (t) => { t.equal(parseStatement(text), null) })
}

t.test('the name of a property of every object is no kind of access, but is a name of a value or prepared statement like any other', async (t) => {
  for (const name of Object.getOwnPropertyNames(Object.prototype)) {
    t.equal(parseStatement(`PREPARE s1 ${name} q2c`), null, name)
    for (const text of [`PREPARE ${name} READ q2c`, `EXECUTE ${name} 1a4`, `DEALLOC ${name}`, `SET ${name} 1`]) {
      const statement = parseStatement(text)
      t.equal(statement === null ? null : formatStatement(statement, null), text)
    }
  }
})

t.test('a required position precedes the statement', async (t) => {
  t.equal(formatStatement({ kind: 'run', access: 'read', text: 'READ x' }, { term: 3, offset: 7 }), 'AFTER 3.7 READ x')
  t.equal(formatStatement({ kind: 'begin', readOnly: true }, { term: 3, offset: 7 }), 'AFTER 3.7 BEGIN READ')
})

t.test('parsing throws for no text', async (t) => {
  fc.assert(fc.property(fc.string(), (text) => {
    const statement = parseStatement(text)
    return statement === null || formatStatement(statement, null).startsWith(text.split(' ')[0] as string)
  }), { seed: 20261204, numRuns: 500 })
  t.pass()
})

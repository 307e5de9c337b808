// Guards against statements that would leave the caller's workspace or change the state of a connection: hidden behind comments, or in
// calls of the proxy's own functions.
import t from 'tap'
import { findStatementKind, type StatementKind } from '../../../src/decisions/sessions/statement-kind.js'

const cases: { statement: string, kind: StatementKind | null }[] = [
  { statement: 'select 1', kind: 'select' },
  { statement: '  SELECT*from t', kind: 'select' },
  { statement: 'Insert into t values (1)', kind: 'insert' },
  { statement: 'update t set a = 1', kind: 'update' },
  { statement: 'delete from t', kind: 'delete' },
  { statement: 'with a as (select 1) select * from a', kind: 'with' },
  { statement: '-- note\n select 1', kind: 'select' },
  { statement: '/* a /* nested */ note */ select 1', kind: 'select' },
  { statement: 'set role admin', kind: null },
  { statement: 'begin', kind: null },
  { statement: 'commit', kind: null },
  { statement: '/* select */ set role admin', kind: null },
  { statement: '/* a /* nested */ select 1', kind: null },
  { statement: '-- select 1', kind: null },
  { statement: 'selection', kind: null },
  { statement: 'select_all()', kind: null },
  { statement: 'ſelect 1', kind: null },
  { statement: '; select 1', kind: null },
  { statement: '', kind: null },
  // Statements that would leave the workspace or change the term of a database.
  { statement: "select set_config('catkinrelay.workspace', 'other', false)", kind: null },
  { statement: "select SET_CONFIG('search_path', 'x', false)", kind: null },
  { statement: 'select * from catkinrelay.fence(99)', kind: null },
  { statement: 'select * from "catkinrelay".promote(2)', kind: null },
  { statement: 'select U&"\\0073et_config"(\'a\', \'b\', false)', kind: null }
]

for (const { statement, kind } of cases) {
  t.test(`${JSON.stringify(statement)} is ${kind ?? 'refused'}`, async (t) => {
    t.equal(findStatementKind(statement), kind)
  })
}

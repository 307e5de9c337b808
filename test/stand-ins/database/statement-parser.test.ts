// Guards against statements that the stand-in understands differently from PostgreSQL. This happens when the parser accepts a misspelt
// statement, rejects another spelling of a valid one or splits a text inside a literal.
import t from 'tap'
import { parseStatement, parseStatements } from '../../../stand-ins/database/statement-parser.js'
import { findSqlState } from './fixture/find-sql-state.js'

const accepted: [sql: string, kind: string][] = [
  ['select value from kv where key = $1', 'select-value'],
  ["  SELECT\tvalue\nFROM kv WHERE key='it''s'  ;", 'select-value'],
  ['insert into kv (key, value) values ($1, $2) on conflict (key) do update set value = excluded.value', 'insert-value'],
  ['INSERT INTO kv(key,value) VALUES($1,-5)', 'insert-value'],
  ['update kv set value = value + $2 where key = $1', 'add-to-value'],
  ['delete from kv where key = $1', 'delete-value'],
  ['insert into entries (key, value) values ($1, $2)', 'append-entry'],
  ['select value from entries where key = $1 order by position', 'select-entries'],
  ['select count(*) from entries where key = $1', 'count-entries'],
  ['begin', 'begin'],
  ['BEGIN READ ONLY', 'begin'],
  ['commit', 'commit'],
  ['rollback', 'rollback'],
  ['set default_transaction_read_only = on', 'set'],
  ["set local catkinrelay.workspace = 'w'", 'set'],
  ["select set_config('catkinrelay.workspace', $1, false)", 'set-config'],
  ['select pg_sleep(0.5)', 'sleep'],
  ['select * from catkinrelay.wait_status($1, $2, $3)', 'call'],
  ['select answer from catkinrelay.begin_request($1, $2, $3, $4)', 'call']
]

const refused = [
  'drop table kv',
  'select value from kv',
  'select value from kv where key = $1 and true',
  "select value from kv where key = 'open",
  'select * from catkinrelay.fence()',
  'select * from catkinrelay.constructor()',
  'begin; commit'
]

t.test('the parser accepts statements in any case and spacing, since callers write them differently', async (t) => {
  for (const [sql, kind] of accepted) t.equal(parseStatement(sql).statement.kind, kind, sql)
})

t.test('any other text is a syntax error, so that a misspelt statement does not look like an empty result', async (t) => {
  for (const sql of refused) t.equal(findSqlState(() => parseStatement(sql)), '42601', sql)
})

t.test('a semicolon inside a literal does not split a statement', async (t) => {
  const texts = parseStatements("begin; insert into kv (key, value) values ('a;b', 'c') ; commit;").map(({ text }) => text)
  t.same(texts, ['begin', "insert into kv (key, value) values ('a;b', 'c')", 'commit'])
})

/** SQL statements that the load generators send. */
export const callerStatements = {
  put: 'insert into kv (key, value) values ($1, $2) on conflict (key) do update set value = excluded.value',
  append: 'insert into entries (key, value) values ($1, $2)',
  get: 'select value from kv where key = $1',
  list: 'select value from entries where key = $1 order by position',
  sleep: 'select pg_sleep($1)'
} as const

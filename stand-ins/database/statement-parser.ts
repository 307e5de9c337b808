import { SqlError, sqlStates } from './sql-error.js'
import type { Expression, ParsedStatement, Statement, SystemFunction } from './statement.js'

const TOKEN = /\s+|--[^\n]*|('(?:[^']|'')*')|("(?:[^"]|"")*")|(\$\d+)|(\d+(?:\.\d+)?)|([a-z_][a-z0-9_]*)|([(),=+\-*.;])/giy

const ARGUMENT_COUNTS: Record<SystemFunction, number> = {
  status: 0, wait_status: 3, begin_request: 4, finish_request: 2, fence: 1, promote: 1, follow: 2
}

interface Token {
  kind: 'string' | 'identifier' | 'parameter' | 'number' | 'word' | 'symbol'
  text: string
  start: number
}

function tokenKind (match: RegExpExecArray): Token['kind'] | null {
  if (match[1] !== undefined) return 'string'
  if (match[2] !== undefined) return 'identifier'
  if (match[3] !== undefined) return 'parameter'
  if (match[4] !== undefined) return 'number'
  if (match[5] !== undefined) return 'word'
  if (match[6] !== undefined) return 'symbol'
  return null
}

function tokenize (sql: string): Token[] {
  const tokens: Token[] = []
  TOKEN.lastIndex = 0
  while (TOKEN.lastIndex < sql.length) {
    const start = TOKEN.lastIndex
    const match = TOKEN.exec(sql)
    if (match === null) throw new SqlError(sqlStates.syntaxError, `syntax error at character ${start + 1}`)
    const kind = tokenKind(match)
    if (kind === null) continue
    const text = kind === 'word' ? match[0].toLowerCase() : match[0]
    tokens.push({ kind, text, start })
  }
  return tokens
}

/** Reads one statement from its tokens. */
class StatementReader {
  private index = 0
  parameterCount = 0

  constructor (private readonly tokens: readonly Token[]) {}

  get done (): boolean { return this.index >= this.tokens.length }

  fail (): never {
    const token = this.tokens[this.index]
    throw new SqlError(sqlStates.syntaxError, token === undefined ? 'syntax error at end of statement' : `syntax error at or near "${token.text}"`)
  }

  /** Takes the words and symbols if all of them come next. */
  take (...texts: string[]): boolean {
    const matches = texts.every((text, offset) => {
      const token = this.tokens[this.index + offset]
      return token !== undefined && token.text === text && (token.kind === 'word' || token.kind === 'symbol')
    })
    if (matches) this.index += texts.length
    return matches
  }

  expect (...texts: string[]): void {
    if (!this.take(...texts)) this.fail()
  }

  word (): string {
    const token = this.tokens[this.index]
    if (token?.kind !== 'word') this.fail()
    this.index++
    return token.text
  }

  settingName (): string {
    let name = this.word()
    while (this.take('.')) name += `.${this.word()}`
    return name
  }

  expression (): Expression {
    const negative = this.take('-')
    const token = this.tokens[this.index]
    if (token === undefined) this.fail()
    this.index++
    if (token.kind === 'number') return { kind: 'literal', value: negative ? `-${token.text}` : token.text }
    if (negative) this.fail()
    if (token.kind === 'string') return { kind: 'literal', value: token.text.slice(1, -1).replaceAll("''", "'") }
    if (token.kind === 'word' && token.text === 'null') return { kind: 'literal', value: null }
    if (token.kind === 'word' && ['true', 'false', 'on', 'off'].includes(token.text)) return { kind: 'literal', value: token.text }
    if (token.kind !== 'parameter') {
      this.index--
      return this.fail()
    }
    const index = Number(token.text.slice(1))
    this.parameterCount = Math.max(this.parameterCount, index)
    return { kind: 'parameter', index }
  }

  expressions (): Expression[] {
    this.expect('(')
    if (this.take(')')) return []
    const list = [this.expression()]
    while (this.take(',')) list.push(this.expression())
    this.expect(')')
    return list
  }
}

function exactly (reader: StatementReader, count: number): Expression[] {
  const list = reader.expressions()
  if (list.length !== count) reader.fail()
  return list
}

function call (reader: StatementReader): Statement {
  const name = reader.word()
  if (!Object.hasOwn(ARGUMENT_COUNTS, name)) reader.fail()
  const known = name as SystemFunction
  return { kind: 'call', name: known, values: exactly(reader, ARGUMENT_COUNTS[known]) }
}

function whereKey (reader: StatementReader): Expression {
  reader.expect('where', 'key', '=')
  return reader.expression()
}

function select (reader: StatementReader): Statement {
  if (reader.take('value', 'from', 'kv')) return { kind: 'select-value', key: whereKey(reader) }
  if (reader.take('value', 'from', 'entries')) {
    const key = whereKey(reader)
    reader.expect('order', 'by', 'position')
    return { kind: 'select-entries', key }
  }
  if (reader.take('count', '(', '*', ')', 'from', 'entries')) return { kind: 'count-entries', key: whereKey(reader) }
  if (reader.take('set_config')) {
    const [name, value, local] = exactly(reader, 3) as [Expression, Expression, Expression]
    return { kind: 'set-config', name, value, local }
  }
  if (reader.take('pg_sleep')) return { kind: 'sleep', seconds: exactly(reader, 1)[0] as Expression }
  if (reader.take('*', 'from', 'catkinrelay', '.') || reader.take('answer', 'from', 'catkinrelay', '.')) return call(reader)
  reader.expect('catkinrelay', '.')
  return call(reader)
}

function insert (reader: StatementReader): Statement {
  reader.expect('into')
  const table = reader.word()
  if (table !== 'kv' && table !== 'entries') reader.fail()
  reader.expect('(', 'key', ',', 'value', ')', 'values')
  const [key, value] = exactly(reader, 2) as [Expression, Expression]
  if (table === 'entries') return { kind: 'append-entry', key, value }
  const replace = reader.take('on', 'conflict')
  if (replace) reader.expect('(', 'key', ')', 'do', 'update', 'set', 'value', '=', 'excluded', '.', 'value')
  return { kind: 'insert-value', key, value, replace }
}

function update (reader: StatementReader): Statement {
  reader.expect('kv', 'set', 'value', '=', 'value', '+')
  const amount = reader.expression()
  return { kind: 'add-to-value', amount, key: whereKey(reader) }
}

function begin (reader: StatementReader): Statement {
  reader.take('transaction')
  const readOnly = reader.take('read', 'only')
  if (!readOnly) reader.take('read', 'write')
  return { kind: 'begin', readOnly }
}

function set (reader: StatementReader): Statement {
  const local = reader.take('local')
  if (!local) reader.take('session')
  const name = reader.settingName()
  if (!reader.take('=')) reader.expect('to')
  return { kind: 'set', name, value: reader.expression(), local }
}

function readStatement (reader: StatementReader): Statement {
  if (reader.done) return { kind: 'empty' }
  if (reader.take('select')) return select(reader)
  if (reader.take('insert')) return insert(reader)
  if (reader.take('update')) return update(reader)
  if (reader.take('delete', 'from', 'kv')) return { kind: 'delete-value', key: whereKey(reader) }
  if (reader.take('begin') || reader.take('start', 'transaction')) return begin(reader)
  if (reader.take('commit') || reader.take('end')) return { kind: 'commit' }
  if (reader.take('rollback') || reader.take('abort')) return { kind: 'rollback' }
  if (reader.take('set')) return set(reader)
  return reader.fail()
}

function parseTokens (sql: string, tokens: readonly Token[]): ParsedStatement {
  const reader = new StatementReader(tokens)
  const statement = readStatement(reader)
  if (!reader.done) reader.fail()
  const last = tokens[tokens.length - 1]
  const text = last === undefined ? '' : sql.slice((tokens[0] as Token).start, last.start + last.text.length)
  return { statement, text, parameterCount: reader.parameterCount }
}

/** Statements that were parsed before, by text: callers repeat few texts. */
const parsedByText = new Map<string, ParsedStatement[]>()
const PARSED_LIMIT = 1_000

/**
 * Parses statements separated by semicolons; empty ones are left out.
 * @throws SqlError 42601
 */
export function parseStatements (sql: string): ParsedStatement[] {
  const known = parsedByText.get(sql)
  if (known !== undefined) return known
  const groups: Token[][] = [[]]
  for (const token of tokenize(sql)) {
    if (token.kind === 'symbol' && token.text === ';') groups.push([])
    else (groups[groups.length - 1] as Token[]).push(token)
  }
  const parsed = groups.filter((group) => group.length > 0).map((group) => parseTokens(sql, group))
  if (parsedByText.size >= PARSED_LIMIT) parsedByText.clear()
  parsedByText.set(sql, parsed)
  return parsed
}

/**
 * Parses the single statement that the extended protocol allows.
 * @throws SqlError 42601
 */
export function parseStatement (sql: string): ParsedStatement {
  const [first, ...others] = parseStatements(sql)
  if (others.length > 0) throw new SqlError(sqlStates.syntaxError, 'cannot insert multiple commands into a prepared statement')
  return first ?? { statement: { kind: 'empty' }, text: '', parameterCount: 0 }
}

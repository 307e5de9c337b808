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

function findTokenKind (match: RegExpExecArray): Token['kind'] | null {
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
    const kind = findTokenKind(match)
    if (kind === null) continue
    const text = kind === 'word' ? match[0].toLowerCase() : match[0]
    tokens.push({ kind, text, start })
  }
  return tokens
}

/** Reads the tokens of one statement from left to right. */
class StatementReader {
  private index = 0
  parameterCount = 0

  constructor (private readonly tokens: readonly Token[]) {}

  get done (): boolean { return this.index >= this.tokens.length }

  fail (): never {
    const token = this.tokens[this.index]
    throw new SqlError(sqlStates.syntaxError, token === undefined ? 'syntax error at end of statement' : `syntax error at or near "${token.text}"`)
  }

  /** Moves past the given words and symbols when they come next, all of them and in this order. @returns whether they did */
  accept (...texts: string[]): boolean {
    const matches = texts.every((text, offset) => {
      const token = this.tokens[this.index + offset]
      return token !== undefined && token.text === text && (token.kind === 'word' || token.kind === 'symbol')
    })
    if (matches) this.index += texts.length
    return matches
  }

  expect (...texts: string[]): void {
    if (!this.accept(...texts)) this.fail()
  }

  word (): string {
    const token = this.tokens[this.index]
    if (token?.kind !== 'word') this.fail()
    this.index++
    return token.text
  }

  settingName (): string {
    let name = this.word()
    while (this.accept('.')) name += `.${this.word()}`
    return name
  }

  expression (): Expression {
    const isNegative = this.accept('-')
    const token = this.tokens[this.index]
    if (token === undefined) this.fail()
    this.index++
    if (token.kind === 'number') return { kind: 'literal', value: isNegative ? `-${token.text}` : token.text }
    if (isNegative) this.fail()
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
    if (this.accept(')')) return []
    const list = [this.expression()]
    while (this.accept(',')) list.push(this.expression())
    this.expect(')')
    return list
  }
}

function readArguments (reader: StatementReader, count: number): Expression[] {
  const list = reader.expressions()
  if (list.length !== count) reader.fail()
  return list
}

function readSystemCall (reader: StatementReader): Statement {
  const name = reader.word()
  if (!Object.hasOwn(ARGUMENT_COUNTS, name)) reader.fail()
  const functionName = name as SystemFunction
  return { kind: 'call', name: functionName, values: readArguments(reader, ARGUMENT_COUNTS[functionName]) }
}

function readWhereKey (reader: StatementReader): Expression {
  reader.expect('where', 'key', '=')
  return reader.expression()
}

function readSelect (reader: StatementReader): Statement {
  if (reader.accept('value', 'from', 'kv')) return { kind: 'select-value', key: readWhereKey(reader) }
  if (reader.accept('value', 'from', 'entries')) {
    const key = readWhereKey(reader)
    reader.expect('order', 'by', 'position')
    return { kind: 'select-entries', key }
  }
  if (reader.accept('count', '(', '*', ')', 'from', 'entries')) return { kind: 'count-entries', key: readWhereKey(reader) }
  if (reader.accept('set_config')) {
    const [name, value, local] = readArguments(reader, 3) as [Expression, Expression, Expression]
    return { kind: 'set-config', name, value, local }
  }
  if (reader.accept('pg_sleep')) return { kind: 'sleep', seconds: readArguments(reader, 1)[0] as Expression }
  if (reader.accept('*', 'from', 'catkinrelay', '.') || reader.accept('answer', 'from', 'catkinrelay', '.')) return readSystemCall(reader)
  reader.expect('catkinrelay', '.')
  return readSystemCall(reader)
}

function readInsert (reader: StatementReader): Statement {
  reader.expect('into')
  const table = reader.word()
  if (table !== 'kv' && table !== 'entries') reader.fail()
  reader.expect('(', 'key', ',', 'value', ')', 'values')
  const [key, value] = readArguments(reader, 2) as [Expression, Expression]
  if (table === 'entries') return { kind: 'append-entry', key, value }
  const replace = reader.accept('on', 'conflict')
  if (replace) reader.expect('(', 'key', ')', 'do', 'update', 'set', 'value', '=', 'excluded', '.', 'value')
  return { kind: 'insert-value', key, value, replace }
}

function readUpdate (reader: StatementReader): Statement {
  reader.expect('kv', 'set', 'value', '=', 'value', '+')
  const amount = reader.expression()
  return { kind: 'add-to-value', amount, key: readWhereKey(reader) }
}

function readBegin (reader: StatementReader): Statement {
  reader.accept('transaction')
  const readOnly = reader.accept('read', 'only')
  if (!readOnly) reader.accept('read', 'write')
  return { kind: 'begin', readOnly }
}

function readSet (reader: StatementReader): Statement {
  const local = reader.accept('local')
  if (!local) reader.accept('session')
  const name = reader.settingName()
  if (!reader.accept('=')) reader.expect('to')
  return { kind: 'set', name, value: reader.expression(), local }
}

function readStatement (reader: StatementReader): Statement {
  if (reader.done) return { kind: 'empty' }
  if (reader.accept('select')) return readSelect(reader)
  if (reader.accept('insert')) return readInsert(reader)
  if (reader.accept('update')) return readUpdate(reader)
  if (reader.accept('delete', 'from', 'kv')) return { kind: 'delete-value', key: readWhereKey(reader) }
  if (reader.accept('begin') || reader.accept('start', 'transaction')) return readBegin(reader)
  if (reader.accept('commit') || reader.accept('end')) return { kind: 'commit' }
  if (reader.accept('rollback') || reader.accept('abort')) return { kind: 'rollback' }
  if (reader.accept('set')) return readSet(reader)
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

/** Cache of parsed statements by their text, since callers repeat a few texts. */
const parsedByText = new Map<string, ParsedStatement[]>()
const MAX_CACHED_TEXTS = 1_000

/**
 * Parses statements that are separated by semicolons. Leaves out empty statements.
 * @throws SqlError 42601 for a syntax error
 */
export function parseStatements (sql: string): ParsedStatement[] {
  const cached = parsedByText.get(sql)
  if (cached !== undefined) return cached
  const groups: Token[][] = [[]]
  for (const token of tokenize(sql)) {
    if (token.kind === 'symbol' && token.text === ';') groups.push([])
    else (groups[groups.length - 1] as Token[]).push(token)
  }
  const parsed = groups.filter((group) => group.length > 0).map((group) => parseTokens(sql, group))
  if (parsedByText.size >= MAX_CACHED_TEXTS) parsedByText.clear()
  parsedByText.set(sql, parsed)
  return parsed
}

/**
 * Parses a text with at most one statement, as the extended protocol requires.
 * @throws SqlError 42601 for a syntax error or more than one statement
 */
export function parseStatement (sql: string): ParsedStatement {
  const [first, ...others] = parseStatements(sql)
  if (others.length > 0) throw new SqlError(sqlStates.syntaxError, 'cannot insert multiple commands into a prepared statement')
  return first ?? { statement: { kind: 'empty' }, text: '', parameterCount: 0 }
}

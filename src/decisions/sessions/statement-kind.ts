const ALLOWED_KEYWORDS = ['select', 'insert', 'update', 'delete', 'with'] as const

/** First keyword of a statement that callers may run. */
export type StatementKind = typeof ALLOWED_KEYWORDS[number]

// White space and comments may precede the keyword. Block comments of PostgreSQL nest, which a regular expression can't match.
const LEADING_SPACE = /^\s+/
const LINE_COMMENT = /^--[^\n]*(\n|$)/
const BLOCK_COMMENT_EDGE = /\/\*|\*\//g
const KEYWORD = /^[a-z]+(?![\w$])/i

/** @returns the text after the leading block comment, or null when the comment is not closed */
function skipBlockComment (text: string): string | null {
  let depth = 0
  for (const edge of text.matchAll(BLOCK_COMMENT_EDGE)) {
    depth += edge[0] === '/*' ? 1 : -1
    if (depth === 0) return text.slice(edge.index + edge[0].length)
  }
  return null
}

/** @returns the text after leading white space and comments, or null when a block comment is not closed */
function skipSpaceAndComments (statement: string): string | null {
  let rest = statement
  for (;;) {
    const before = rest.length
    rest = rest.replace(LEADING_SPACE, '').replace(LINE_COMMENT, '')
    if (rest.startsWith('/*')) {
      const afterComment = skipBlockComment(rest)
      if (afterComment === null) return null
      rest = afterComment
    }
    if (rest.length === before) return rest
  }
}

// Names of functions that change the workspace of a connection or the term of a database. `u&"` starts an identifier with Unicode
// escapes, which could hide such a name.
const RESERVED_NAMES = /set_config|catkinrelay|u&"/i

/**
 * Checks the first keyword of a caller's statement, and that the statement names none of the proxy's own functions.
 * The check searches the plain text, so it also refuses a literal that contains a reserved name. Callers must pass such text as a
 * parameter value.
 * @returns the keyword, or null when callers may not run the statement
 */
export function findStatementKind (statement: string): StatementKind | null {
  if (RESERVED_NAMES.test(statement)) return null
  const keyword = KEYWORD.exec(skipSpaceAndComments(statement) ?? '')?.[0].toLowerCase()
  return ALLOWED_KEYWORDS.find((allowed) => allowed === keyword) ?? null
}

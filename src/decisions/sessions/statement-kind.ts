const ALLOWED_KEYWORDS = ['select', 'insert', 'update', 'delete', 'with'] as const

/** First keyword of a statement that callers may run. */
export type StatementKind = typeof ALLOWED_KEYWORDS[number]

// White space and comments may precede the keyword. Block comments of PostgreSQL nest, so they are skipped by hand.
const LEADING_SPACE = /^\s+/
const LINE_COMMENT = /^--[^\n]*(\n|$)/
const BLOCK_COMMENT_EDGE = /\/\*|\*\//g
const KEYWORD = /^[a-z]+(?![\w$])/i

/** @returns the text after a block comment, or null when the comment does not end */
function skipBlockComment (text: string): string | null {
  let depth = 0
  for (const edge of text.matchAll(BLOCK_COMMENT_EDGE)) {
    depth += edge[0] === '/*' ? 1 : -1
    if (depth === 0) return text.slice(edge.index + edge[0].length)
  }
  return null
}

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

// These change the workspace of a connection or the terms of a database. An identifier with Unicode escapes could hide their names.
const RESERVED_NAMES = /set_config|catkinrelay|u&"/i

/**
 * Checks the first keyword of a caller's statement, and that it calls none of the system's own functions.
 * The check reads the text only, so a literal that holds a reserved name is refused too; pass such text as a value.
 * @returns the keyword, or null when callers may not run the statement
 */
export function statementKind (statement: string): StatementKind | null {
  if (RESERVED_NAMES.test(statement)) return null
  const keyword = KEYWORD.exec(skipSpaceAndComments(statement) ?? '')?.[0].toLowerCase()
  return ALLOWED_KEYWORDS.find((allowed) => allowed === keyword) ?? null
}

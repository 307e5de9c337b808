import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { groupId, type GroupId } from '../../types/ids.js'
import type { SessionPosition, SessionToken } from '../../types/session-token.js'

/**
 * Why a session token can't be used.
 * - `malformed`: the text does not have the form of a token
 * - `unknown-version`: a later release wrote the token in another format
 * - `damaged`: the checksum does not match
 */
export type SessionTokenError = 'malformed' | 'unknown-version' | 'damaged'

/** Version of tokens with the position of one group. */
const ONE_GROUP_VERSION = '1'
/** Version of all other tokens, which instances of earlier releases refuse. */
const SEVERAL_GROUPS_VERSION = '2'
const MAX_TOKEN_CHARACTERS = 512
const MAX_GROUPS = 8
const FIELDS_PER_POSITION = 3
// 48 bits: a random change passes the check with a probability of less than 4e-15.
const CHECKSUM_CHARACTERS = 8
const BASE_36_NUMBER = /^(0|[1-9a-z][0-9a-z]*)$/

function computeChecksum (body: string): string {
  return createHash('sha256').update(body).digest('base64url').slice(0, CHECKSUM_CHARACTERS)
}

function parseNumber (text: string): number | null {
  if (!BASE_36_NUMBER.test(text)) return null
  const value = parseInt(text, 36)
  return Number.isSafeInteger(value) ? value : null
}

function parseGroup (text: string): GroupId | null {
  const name = Buffer.from(text, 'base64url').toString('utf8')
  const canonical = Buffer.from(name, 'utf8').toString('base64url')
  return canonical === text && name !== '' ? groupId(name) : null
}

function encodePosition ({ group, position }: SessionPosition): string[] {
  return [Buffer.from(group, 'utf8').toString('base64url'), position.term.toString(36), position.offset.toString(36)]
}

/** @returns the position of three fields of a token; null when they have another form */
function parsePosition ([group = '', term = '', offset = '']: string[]): SessionPosition | null {
  const parsedGroup = parseGroup(group)
  const parsedTerm = parseNumber(term)
  const parsedOffset = parseNumber(offset)
  if (parsedGroup === null || parsedTerm === null || parsedOffset === null) return null
  return { group: parsedGroup, position: { term: parsedTerm, offset: parsedOffset } }
}

/** @returns the positions of the fields; null when the fields have another form, or name a group twice */
function parsePositions (fields: string[]): SessionPosition[] | null {
  if (fields.length === 0 || fields.length % FIELDS_PER_POSITION !== 0) return null
  const positions: SessionPosition[] = []
  for (let index = 0; index < fields.length; index += FIELDS_PER_POSITION) {
    const position = parsePosition(fields.slice(index, index + FIELDS_PER_POSITION))
    if (position === null || positions.some(({ group }) => group === position.group)) return null
    positions.push(position)
  }
  return positions
}

/**
 * Adds the position of a write to the token of its session. The positions of the groups that were written least recently are left out
 * where a token has no room for them.
 * @param token - token of the request; null when the request carried none
 * @returns the token of the answer
 */
export function addSessionPosition (token: SessionToken | null, added: SessionPosition): SessionToken {
  const others = (token?.positions ?? []).filter(({ group }) => group !== added.group)
  let next: SessionToken = { positions: [added, ...others], isPartial: token?.isPartial ?? false }
  while (next.positions.length > 1 && (next.positions.length > MAX_GROUPS || encodeSessionToken(next).length > MAX_TOKEN_CHARACTERS)) {
    next = { positions: next.positions.slice(0, -1), isPartial: true }
  }
  return next
}

/** @returns the token as text that is safe in an HTTP header */
export function encodeSessionToken ({ positions, isPartial }: SessionToken): string {
  const fields = positions.flatMap(encodePosition)
  const hasOneGroup = positions.length === 1 && !isPartial
  const body = [...(hasOneGroup ? [ONE_GROUP_VERSION] : [SEVERAL_GROUPS_VERSION, isPartial ? '1' : '0']), ...fields].join('.')
  return `${body}.${computeChecksum(body)}`
}

/**
 * Decodes a token that a caller sent.
 * @returns the token, or the error
 */
export function decodeSessionToken (text: string): Result<SessionToken, SessionTokenError> {
  if (text.length > MAX_TOKEN_CHARACTERS) return err('malformed')
  const checksumAt = text.lastIndexOf('.')
  const body = text.slice(0, Math.max(0, checksumAt))
  const [version, ...fields] = body.split('.')
  if (fields.length < FIELDS_PER_POSITION) return err('malformed')
  if (computeChecksum(body) !== text.slice(checksumAt + 1)) return err('damaged')
  if (version !== ONE_GROUP_VERSION && version !== SEVERAL_GROUPS_VERSION) return err('unknown-version')
  const flag = version === ONE_GROUP_VERSION ? '0' : fields.shift()
  const positions = parsePositions(fields)
  if (positions === null || (flag !== '0' && flag !== '1')) return err('malformed')
  return ok({ positions, isPartial: flag === '1' })
}

import { createHash } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { groupId, type GroupId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'

/** Content of a session token: the position that the session has to see. */
export interface SessionToken {
  group: GroupId
  position: LogPosition
}

/**
 * Why a session token can't be used.
 * - `malformed`: the text does not have the form of a token
 * - `unknown-version`: a later release wrote the token in another format
 * - `damaged`: the checksum does not match
 */
export type SessionTokenError = 'malformed' | 'unknown-version' | 'damaged'

const TOKEN_VERSION = '1'
const MAX_TOKEN_CHARACTERS = 512
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

/** @returns the token as text that is safe in an HTTP header */
export function encodeSessionToken (token: SessionToken): string {
  const group = Buffer.from(token.group, 'utf8').toString('base64url')
  const body = [TOKEN_VERSION, group, token.position.term.toString(36), token.position.offset.toString(36)].join('.')
  return `${body}.${computeChecksum(body)}`
}

/**
 * Decodes a token that a caller sent.
 * @returns the token, or the error
 */
export function decodeSessionToken (text: string): Result<SessionToken, SessionTokenError> {
  if (text.length > MAX_TOKEN_CHARACTERS) return err('malformed')
  const [version, group, term, offset, givenChecksum, ...rest] = text.split('.')
  if (version === undefined || group === undefined || term === undefined || offset === undefined || givenChecksum === undefined || rest.length > 0) return err('malformed')
  if (computeChecksum([version, group, term, offset].join('.')) !== givenChecksum) return err('damaged')
  if (version !== TOKEN_VERSION) return err('unknown-version')
  const parsedGroup = parseGroup(group)
  const parsedTerm = parseNumber(term)
  const parsedOffset = parseNumber(offset)
  if (parsedGroup === null || parsedTerm === null || parsedOffset === null) return err('malformed')
  return ok({ group: parsedGroup, position: { term: parsedTerm, offset: parsedOffset } })
}

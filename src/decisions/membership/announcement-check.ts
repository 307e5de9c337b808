import type { Announcement } from '../../types/database-status.js'

/** Maximum length of the name of a database, group or failure domain. */
const MAX_NAME_LENGTH = 200
/** Maximum length of an address: a host name of 253 characters, a colon and a port. */
const MAX_ADDRESS_LENGTH = 259
const MAX_PORT = 65_535

/** Text without blanks, control characters and unpaired surrogates. Names are fields of messages, which these would end or change. */
const WIRE_NAME = /^[^\s\p{Cc}\p{Surrogate}]+$/u
/** Text without control characters. A failure domain is only compared and logged. */
const PRINTABLE = /^\P{Cc}+$/u
const ADDRESS = /^[A-Za-z0-9._-]+:(\d{1,5})$/

const isName = (text: string, pattern: RegExp): boolean => text.length <= MAX_NAME_LENGTH && pattern.test(text)

function isAddress (text: string): boolean {
  const port = Number(ADDRESS.exec(text)?.[1] ?? 0)
  return text.length <= MAX_ADDRESS_LENGTH && port > 0 && port <= MAX_PORT
}

const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0

/**
 * Checks the values of an announcement, whose types were checked before. It may come from another writer, or from a log that an earlier
 * version of the program wrote without this check.
 * @returns the name of the first field that no connection can use; null if there is none
 */
export function findUnusableField ({ database, group, address, failureDomain, run }: Pick<Announcement, 'database' | 'group' | 'address' | 'failureDomain' | 'run'>): string | null {
  if (!isName(database, WIRE_NAME)) return 'database'
  if (!isName(group, WIRE_NAME)) return 'group'
  if (!isAddress(address)) return 'address'
  if (!isName(failureDomain, PRINTABLE)) return 'failureDomain'
  if (run !== undefined && !isCount(run.startedAt)) return 'startedAt'
  if (run !== undefined && !isCount(run.sequence) && !run.gone) return 'sequence'
  return null
}

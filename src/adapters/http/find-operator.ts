import { createHash, timingSafeEqual } from 'node:crypto'

/** An operator listed in the settings. */
export interface OperatorCredential {
  name: string
  /** SHA-256 of the credential, 64 hexadecimal digits. */
  digest: string
}

const BEARER = /^Bearer (\S+)$/i

/**
 * Finds the operator whose credential a request carries. Compares with every operator in constant time.
 * @param authorization - value of the Authorization header
 * @returns the operator's name, or null
 */
export function findOperator (authorization: string | undefined, operators: readonly OperatorCredential[]): string | null {
  const credential = BEARER.exec(authorization ?? '')?.[1] ?? ''
  const digest = createHash('sha256').update(credential).digest()
  const matches = operators.filter((operator) => timingSafeEqual(digest, Buffer.from(operator.digest, 'hex')))
  return credential === '' ? null : matches[0]?.name ?? null
}

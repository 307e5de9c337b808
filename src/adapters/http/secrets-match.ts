import { createHash, timingSafeEqual } from 'node:crypto'

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/**
 * Compares a bearer credential in constant time.
 * @param authorization - value of the Authorization header
 * @param secret - the expected credential
 */
export function secretsMatch (authorization: string | undefined, secret: string): boolean {
  return timingSafeEqual(digest(authorization ?? ''), digest(`Bearer ${secret}`))
}

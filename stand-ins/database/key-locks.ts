import { SqlError, sqlStates } from './sql-error.js'

/** Longest time for which a transaction waits for a key that another transaction holds. */
export const LOCK_WAIT_MS = 1_000

/** Transaction that holds locks, compared by identity. */
export type LockOwner = object

/** Exclusive locks on keys, granted in order of arrival. */
export interface KeyLocks {
  /** Resolves when the owner holds the lock. @throws SqlError 55P03 when the wait expires */
  acquire: (owner: LockOwner, key: string) => Promise<void>
  releaseAll: (owner: LockOwner) => void
}

interface Waiter {
  owner: LockOwner
  grant: () => void
}

interface Lock {
  owner: LockOwner
  waiters: Waiter[]
}

/** @returns locks without owners */
export function createKeyLocks (): KeyLocks {
  const locks = new Map<string, Lock>()
  const keysByOwner = new Map<LockOwner, Set<string>>()

  function recordOwnedKey (owner: LockOwner, key: string): void {
    const keys = keysByOwner.get(owner) ?? new Set()
    keys.add(key)
    keysByOwner.set(owner, keys)
  }

  async function waitForLock (lock: Lock, owner: LockOwner, key: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => {
        lock.waiters.splice(lock.waiters.indexOf(waiter), 1)
        reject(new SqlError(sqlStates.lockNotAvailable, `another transaction holds the lock of ${key}`))
      }, LOCK_WAIT_MS)
      const waiter: Waiter = {
        owner,
        grant: () => {
          clearTimeout(timer)
          resolve()
        }
      }
      lock.waiters.push(waiter)
    })
  }

  async function acquire (owner: LockOwner, key: string): Promise<void> {
    const lock = locks.get(key)
    if (lock === undefined) {
      locks.set(key, { owner, waiters: [] })
      recordOwnedKey(owner, key)
      return
    }
    if (lock.owner !== owner) await waitForLock(lock, owner, key)
  }

  function release (key: string): void {
    const lock = locks.get(key)
    const next = lock?.waiters.shift()
    if (lock === undefined || next === undefined) {
      locks.delete(key)
      return
    }
    lock.owner = next.owner
    recordOwnedKey(next.owner, key)
    next.grant()
  }

  function releaseAll (owner: LockOwner): void {
    const keys = keysByOwner.get(owner)
    keysByOwner.delete(owner)
    keys?.forEach(release)
  }

  return { acquire, releaseAll }
}

import type { Result } from 'neverthrow'
import type { ControlLogFailure } from '../types/control-log.js'

type CallResult<Value> = Result<Value, ControlLogFailure>

/** Numbers calls and resolves each when its result arrives. */
export interface OpenCalls<Value> {
  /** Opens a call. @returns its number and a promise of its result */
  open: () => { number: number, result: Promise<CallResult<Value>> }
  /** Resolves a call with its result. Does nothing for a call that is already settled. */
  settle: (number: number, result: CallResult<Value>) => void
  /** Resolves all open calls with the same result. */
  settleAll: (result: CallResult<Value>) => void
}

export function createOpenCalls<Value> (): OpenCalls<Value> {
  const resolvers = new Map<number, (result: CallResult<Value>) => void>()
  let lastNumber = 0

  function settle (number: number, result: CallResult<Value>): void {
    const resolve = resolvers.get(number)
    resolvers.delete(number)
    resolve?.(result)
  }

  return {
    open: () => {
      const number = ++lastNumber
      const result = new Promise<CallResult<Value>>((resolve) => { resolvers.set(number, resolve) })
      return { number, result }
    },
    settle,
    settleAll: (result) => {
      for (const number of [...resolvers.keys()]) settle(number, result)
    }
  }
}

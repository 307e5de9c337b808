import type { Result } from 'neverthrow'
import type { ControlLogFailure } from '../types/control-log.js'

type CallResult<Value> = Result<Value, ControlLogFailure>

/** Numbered calls whose results come later. */
export interface OpenCalls<Value> {
  open: () => { number: number, result: Promise<CallResult<Value>> }
  /** Settles a call; without effect when it is settled. */
  settle: (number: number, result: CallResult<Value>) => void
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

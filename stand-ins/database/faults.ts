/** Where a connection is cut: before the matching statement runs, or after it ran and before its answer is sent. */
export interface ConnectionCut {
  statement: RegExp
  when: 'before' | 'after'
}

/** Faults that concern single answers. */
export interface Faults {
  /** Delays the next `count` answers to other statements than status calls. */
  delayAnswers: (count: number, delayMs: number) => void
  /** @returns the delay of the answer that is about to be sent, in ms */
  takeAnswerDelay: () => number
  /** Cuts the connection of the next statement that matches. */
  cutConnectionOn: (cut: ConnectionCut) => void
  /** @returns whether the connection is to be cut now; true once per cut */
  takeCut: (statement: string, when: ConnectionCut['when']) => boolean
}

/** @returns switches that are all off */
export function createFaults (): Faults {
  let delayedAnswers = 0
  let answerDelayMs = 0
  let cut: ConnectionCut | null = null
  return {
    delayAnswers: (count, delayMs) => {
      delayedAnswers = count
      answerDelayMs = delayMs
    },
    takeAnswerDelay: () => {
      if (delayedAnswers === 0) return 0
      delayedAnswers--
      return answerDelayMs
    },
    cutConnectionOn: (next) => { cut = next },
    takeCut: (statement, when) => {
      if (cut === null || cut.when !== when || !cut.statement.test(statement)) return false
      cut = null
      return true
    }
  }
}

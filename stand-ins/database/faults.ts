/** Closes a connection before the matching statement runs, or after it ran and before its answer is sent. */
export interface ConnectionCut {
  statement: RegExp
  when: 'before' | 'after'
}

/** Faults that delay one answer or close the connection of one statement. */
export interface Faults {
  /** Sends the next `skip` answers without delay, then delays `count` answers by `delayMs`. Only answers that `recordAnswer` counts are affected. */
  delayAnswers: (count: number, delayMs: number, skip?: number) => void
  /** Counts an answer that is about to be sent. @returns its delay in ms */
  recordAnswer: () => number
  /** @returns how many answers `recordAnswer` has counted */
  answers: () => number
  /** Sets the cut for the next matching statement; it replaces one that has not happened yet. */
  cutConnectionOn: (cut: ConnectionCut) => void
  /** @returns whether to close the connection now; true once for each cut */
  popMatchingCut: (statement: string, when: ConnectionCut['when']) => boolean
}

/** @returns faults that are all switched off */
export function createFaults (): Faults {
  let answerCount = 0
  let firstDelayed = 0
  let lastDelayed = 0
  let answerDelayMs = 0
  let pendingCut: ConnectionCut | null = null
  return {
    delayAnswers: (count, delayMs, skip = 0) => {
      firstDelayed = answerCount + skip + 1
      lastDelayed = answerCount + skip + count
      answerDelayMs = delayMs
    },
    recordAnswer: () => {
      answerCount++
      return answerCount >= firstDelayed && answerCount <= lastDelayed ? answerDelayMs : 0
    },
    answers: () => answerCount,
    cutConnectionOn: (next) => { pendingCut = next },
    popMatchingCut: (statement, when) => {
      if (pendingCut === null || pendingCut.when !== when || !pendingCut.statement.test(statement)) return false
      pendingCut = null
      return true
    }
  }
}

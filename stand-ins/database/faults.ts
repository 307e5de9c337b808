/** Where a connection is cut: before the matching statement runs, or after it ran and before its answer is sent. */
export interface ConnectionCut {
  statement: RegExp
  when: 'before' | 'after'
}

/** Faults that concern single answers. */
export interface Faults {
  /** Delays `count` answers to other statements than status calls, after `skip` more that are not delayed. */
  delayAnswers: (count: number, delayMs: number, skip?: number) => void
  /** Counts the answer that is about to be sent. @returns its delay in ms */
  takeAnswerDelay: () => number
  /** @returns the number of answers so far, without those to status calls alone */
  answers: () => number
  /** Cuts the connection of the next statement that matches. */
  cutConnectionOn: (cut: ConnectionCut) => void
  /** @returns whether the connection is to be cut now; true once per cut */
  takeCut: (statement: string, when: ConnectionCut['when']) => boolean
}

/** @returns switches that are all off */
export function createFaults (): Faults {
  let answers = 0
  let firstDelayed = 0
  let lastDelayed = 0
  let answerDelayMs = 0
  let cut: ConnectionCut | null = null
  return {
    delayAnswers: (count, delayMs, skip = 0) => {
      firstDelayed = answers + skip + 1
      lastDelayed = answers + skip + count
      answerDelayMs = delayMs
    },
    takeAnswerDelay: () => {
      answers++
      return answers >= firstDelayed && answers <= lastDelayed ? answerDelayMs : 0
    },
    answers: () => answers,
    cutConnectionOn: (next) => { cut = next },
    takeCut: (statement, when) => {
      if (cut === null || cut.when !== when || !cut.statement.test(statement)) return false
      cut = null
      return true
    }
  }
}

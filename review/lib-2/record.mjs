// The record of a case: what was sent, answered and run.
import { writeFileSync } from 'node:fs'

export function createRecord (file) {
  const lines = []
  const startedAt = Date.now()
  return {
    add: (kind, details, at = Date.now()) => { lines.push({ at, text: `${kind} ${JSON.stringify(details)}` }) },
    write: () => { writeFileSync(file, lines.sort((left, right) => left.at - right.at).map(({ at, text }) => `${((at - startedAt) / 1000).toFixed(3)} ${text}\n`).join('')) }
  }
}

import type { CommandAnswer } from '../../types/replicated-state.js'
import type { LogEntry, LogSnapshot } from '../../types/consensus-entry.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { termVote } from './member-core.js'

/** Receives each entry when it is applied; `answer` is null for entries without a command. */
export type AppliedListener = (entry: LogEntry, answer: CommandAnswer | null) => void

/**
 * Applies all entries up to `index`, which a majority holds, and replaces the log by a snapshot when it is long enough.
 * @param index - ignored if it is not past the commit index
 * @param onApplied - called for each entry, in order
 * @throws Error when an entry is not in the log
 */
export function advanceCommit (core: MemberCore, effects: EffectQueue, index: number, onApplied: AppliedListener = () => {}): void {
  if (index <= core.commitIndex) return
  while (core.commitIndex < index) {
    const entry = core.log.entryAt(core.commitIndex + 1)
    if (entry === undefined) throw new Error(`committed entry ${core.commitIndex + 1} is not in the log`)
    core.commitIndex = entry.index
    onApplied(entry, applyEntry(core, entry))
  }
  effects.emit({ kind: 'changed' })
  compactLog(core, effects)
}

function applyEntry (core: MemberCore, entry: LogEntry): CommandAnswer | null {
  if (entry.payload.kind !== 'command') return null
  const { state, answer } = core.options.apply(core.state, entry.payload.command)
  core.state = state
  return answer
}

function compactLog (core: MemberCore, effects: EffectQueue): void {
  if (core.commitIndex - core.log.snapshotIndex() < core.options.snapshotThreshold) return
  const term = core.log.termAt(core.commitIndex)
  const cluster = core.log.cluster()
  if (term === null || cluster === null) throw new Error(`applied entry ${core.commitIndex} is not in the log`)
  installSnapshot(core, effects, {
    index: core.commitIndex,
    term,
    cluster,
    members: core.log.membersAt(core.commitIndex),
    state: core.state
  })
}

/**
 * Puts a snapshot in place of the entries that it covers, in the log and on disk.
 * @param snapshot - of committed entries
 */
export function installSnapshot (core: MemberCore, effects: EffectQueue, snapshot: LogSnapshot): void {
  core.log.install(snapshot)
  const entries = core.log.entriesFrom(snapshot.index + 1)
  effects.persist({ kind: 'snapshot', snapshot, vote: termVote(core), entries })
  effects.log('snapshotWritten', { index: snapshot.index, term: snapshot.term })
}

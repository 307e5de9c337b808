import type { CommandAnswer } from '../../types/replicated-state.js'
import type { LogEntry, LogSnapshot } from '../../types/consensus-entry.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { termVoteOf } from './member-core.js'

/** Called with each entry that is applied; `answer` is null for entries without a command. */
export type AppliedListener = (entry: LogEntry, answer: CommandAnswer | null) => void

/**
 * Applies all entries up to `index`, and replaces the log by a snapshot once enough entries were applied since the last snapshot.
 * @param index - last entry that a majority holds; ignored if it is not past the commit index
 * @param onApplied - called for each entry, in order
 * @throws Error when the log lacks one of the entries
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
 * Replaces the entries that a snapshot covers, in the log and on disk.
 * @param snapshot - must cover committed entries only
 */
export function installSnapshot (core: MemberCore, effects: EffectQueue, snapshot: LogSnapshot): void {
  core.log.installSnapshot(snapshot)
  const entries = core.log.entriesFrom(snapshot.index + 1)
  effects.persist({ kind: 'snapshot', snapshot, vote: termVoteOf(core), entries })
  effects.log('snapshotWritten', { index: snapshot.index, term: snapshot.term })
}

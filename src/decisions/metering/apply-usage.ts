import type { UsageCommand, UsageState } from '../../types/usage.js'

/** Closed windows that the state keeps. The oldest ones are long overdue. */
const REMEMBERED_WINDOW_COUNT = 16

type RecordUsage = Extract<UsageCommand, { kind: 'record-usage' }>
type SettleUsage = Extract<UsageCommand, { kind: 'settle-usage' }>

/**
 * Applies one command to the closed windows. The function is pure, so that every member of the replicated log derives the same state.
 * @param state - undefined before the first window was recorded
 * @returns the next state
 */
export function applyUsage (state: UsageState | undefined, command: UsageCommand): UsageState | undefined {
  return command.kind === 'record-usage' ? recordWindow(state ?? { floor: command.window - 1, windows: [] }, command) : settleWindow(state, command)
}

/** A second record of a window would allow reports of different counts. The floor prevents it also after the first one was dropped. */
function recordWindow (state: UsageState, { window, counts }: RecordUsage): UsageState {
  if (window <= state.floor || state.windows.some((recorded) => recorded.window === window)) return state
  const windows = [...state.windows, { window, counts, outcome: 'pending' as const }].sort((left, right) => left.window - right.window)
  const dropped = windows.splice(0, Math.max(0, windows.length - REMEMBERED_WINDOW_COUNT))
  return { floor: dropped.at(-1)?.window ?? state.floor, windows }
}

/** The first outcome stays, so that a window that was left out is not sent again. */
function settleWindow (state: UsageState | undefined, { window, outcome }: SettleUsage): UsageState | undefined {
  if (state === undefined) return state
  return { ...state, windows: state.windows.map((recorded) => recorded.window === window && recorded.outcome === 'pending' ? { ...recorded, outcome } : recorded) }
}

import type { DatabaseReply } from '../../types/database-session.js'

/** Where the time of one operation went. All times are in milliseconds. */
export interface OperationTiming {
  /** Wait for a token of the workspace's rate. */
  admissionMs: number
  /** Wait for a connection at the accepting instance and at the lender, with the time to open one. */
  connectionMs: number
  /** Time from sending statements to the database until its answers, measured where the connection is held. */
  databaseMs: number
  /** Wait for a slot of the database, at the lender or at this instance. */
  slotMs: number
  /** Rest of the time between an instance and the lender of its connection. */
  hopMs: number
  /** Number of statements that were run on connections, without those of the proxy's own rollbacks. */
  statements: number
}

/** @returns the timing of an operation that has not begun */
export function createOperationTiming (): OperationTiming {
  return { admissionMs: 0, connectionMs: 0, slotMs: 0, databaseMs: 0, hopMs: 0, statements: 0 }
}

/**
 * Adds one answered statement. One that found no slot counts as a wait only.
 * @param elapsedMs - time from sending the statement to the holder of the connection until its answer
 */
export function addStatementTiming (timing: OperationTiming, { holderTiming, outcome }: DatabaseReply, elapsedMs: number): void {
  if (outcome.kind === 'error' && outcome.overload !== undefined) {
    timing.slotMs += elapsedMs
    return
  }
  const databaseMs = holderTiming?.databaseMs ?? elapsedMs
  const connectionMs = holderTiming?.connectionMs ?? 0
  const slotMs = holderTiming?.slotMs ?? 0
  timing.statements++
  timing.slotMs += slotMs
  timing.databaseMs += databaseMs
  timing.connectionMs += connectionMs
  timing.hopMs += Math.max(0, elapsedMs - databaseMs - connectionMs - slotMs)
}

/** @returns the timing as log fields, rounded to milliseconds */
export function describeTiming ({ admissionMs, connectionMs, slotMs, databaseMs, hopMs, statements }: OperationTiming): Record<string, number> {
  return { admissionMs: Math.round(admissionMs), connectionMs: Math.round(connectionMs), slotMs: Math.round(slotMs), databaseMs: Math.round(databaseMs), hopMs: Math.round(hopMs), statements }
}

/** Target of a measure. */
export interface Target {
  unit: string
  /** Whether a value must be at most or at least `bound` to pass. */
  direction: 'at-most' | 'at-least'
  bound: number
}

/** Targets from docs/design.md section 1.4. They must not be changed to fit a measured value. */
export const targets = {
  replica_read_share: { unit: 'share', direction: 'at-least', bound: 0.9 },
  failover_gap_ms: { unit: 'ms', direction: 'at-most', bound: 3000 },
  lost_writes: { unit: 'count', direction: 'at-most', bound: 0 },
  doubled_writes: { unit: 'count', direction: 'at-most', bound: 0 },
  stale_session_reads: { unit: 'count', direction: 'at-most', bound: 0 },
  mixed_transactions: { unit: 'count', direction: 'at-most', bound: 0 },
  wrong_answers: { unit: 'count', direction: 'at-most', bound: 0 },
  false_not_run: { unit: 'count', direction: 'at-most', bound: 0 },
  worst_workspace_share: { unit: 'share', direction: 'at-least', bound: 0.95 },
  wrongful_refusal_share: { unit: 'share', direction: 'at-most', bound: 0.001 },
  over_admission: { unit: 'requests', direction: 'at-most', bound: 0 },
  failure_domain_stop_ms: { unit: 'ms', direction: 'at-most', bound: 3000 },
  failure_domain_refused_share: { unit: 'share', direction: 'at-most', bound: 0.001 },
  key_withdrawal_ms: { unit: 'ms', direction: 'at-most', bound: 2000 },
  manifest_in_force_ms: { unit: 'ms', direction: 'at-most', bound: 2000 },
  drain_cut_requests: { unit: 'count', direction: 'at-most', bound: 0 },
  restart_after_2000_changes_ms: { unit: 'ms', direction: 'at-most', bound: 1000 },
  added_latency_p50_ms: { unit: 'ms', direction: 'at-most', bound: 1 },
  added_latency_p99_ms: { unit: 'ms', direction: 'at-most', bound: 5 },
  throughput_ratio: { unit: 'ratio', direction: 'at-least', bound: 0.5 },
  control_bytes_per_second: { unit: 'bytes/s', direction: 'at-most', bound: 2048 },
  control_cpu_share: { unit: 'share', direction: 'at-most', bound: 0.025 },
  control_memory_mb: { unit: 'MB', direction: 'at-most', bound: 32 }
} as const satisfies Record<string, Target>

/** Name of a measured value. */
export type MeasureName = keyof typeof targets

/** @returns whether the value meets the target of the named measure */
export function meetsTarget (name: MeasureName, value: number): boolean {
  const { direction, bound } = targets[name]
  return direction === 'at-most' ? value <= bound : value >= bound
}

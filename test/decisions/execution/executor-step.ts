import type { LossPhase } from './fake-connections.js'

/** One step of a schedule. Numbers are indexes into the requests, connections or databases that exist at that time. */
export type Step =
  | { kind: 'request', access: 'read' | 'write' | 'begin', session: number, from: number, remainingMs: number }
  | { kind: 'transaction', what: 'statement' | 'commit' | 'rollback', which: number, from: number }
  | { kind: 'open' | 'open-fails' | 'apply' | 'deliver' | 'refuse' | 'connection-ends' | 'repeat-result' | 'cancel', which: number }
  | { kind: 'lose', which: number, phase: LossPhase }
  | { kind: 'replicate' | 'observe' | 'restart' | 'fail-over' | 'follow', database: number }
  | { kind: 'directory', phase: 'serving' | 'electing' | 'switching' }
  | { kind: 'progress', heals: boolean }
  | { kind: 'advance', ms: number }
  | { kind: 'key', valid: boolean }
  | { kind: 'lease', valid: boolean }
  | { kind: 'requester-lost', from: number }
  | { kind: 'share', database: number, slots: number, connections: number }
  | { kind: 'weight', database: number, weight: number }

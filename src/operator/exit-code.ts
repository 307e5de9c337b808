/** Exit codes of the command line, as docs/operators.md lists them. */
export const exitCodes = {
  done: 0,
  /** An error of the program itself. */
  failed: 1,
  /** The manifest, the settings or the arguments do not pass their checks. */
  badInput: 2,
  /** Another manifest was accepted with this version number. */
  conflict: 3,
  /** The commit may or may not have been accepted. It is safe to repeat the same command. */
  unknown: 4,
  /** No control instance answered as leader. */
  noLeader: 5,
  /** The operator credential was refused. */
  credentialRefused: 6
} as const

export type ExitCode = typeof exitCodes[keyof typeof exitCodes]

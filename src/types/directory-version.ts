import type { DirectoryVersion } from './directory.js'

/** @returns a negative number, zero or a positive number, as `left` is older than, the same as or newer than `right` */
export function compareDirectoryVersions (left: DirectoryVersion, right: DirectoryVersion): number {
  if (left.leaderTerm !== right.leaderTerm) return left.leaderTerm - right.leaderTerm
  return left.counter - right.counter
}

/** @returns whether an instance with the directory `held` has the version `required` or a newer one */
export function hasDirectoryVersion (held: DirectoryVersion | null, required: DirectoryVersion): boolean {
  return held !== null && compareDirectoryVersions(held, required) >= 0
}

import type { Command, CommandAnswer, DatabaseRecord, ReplicatedGroup, ReplicatedState } from '../../types/replicated-state.js'
import { createEmptyServiceLevels } from '../../types/service-level.js'
import { applyUsage } from '../metering/apply-usage.js'
import { applyServiceLevels } from '../service-levels/service-level-state.js'
import type { GroupId } from '../../types/ids.js'
import type { UsageCommand } from '../../types/usage.js'

/**
 * Number of accepted manifest versions whose digests the state keeps. A resend of an older version is refused, because its
 * content cannot be compared any more. At 1,300 changes a day, 4,096 versions cover three days.
 */
export const REMEMBERED_DIGEST_COUNT = 4096

/** Limit for the records of databases; several times the 1,200 databases of the largest deployment. Without it, records of databases that are gone would accumulate. */
const REMEMBERED_DATABASE_COUNT = 8192

export interface AppliedCommand {
  state: ReplicatedState
  answer: CommandAnswer
}

type CommitManifest = Extract<Command, { kind: 'commit-manifest' }>
type AdoptManifest = Extract<Command, { kind: 'adopt-manifest' }>
type SetFailureDomain = Extract<Command, { kind: 'set-failure-domain' }>
type RecordDatabase = Extract<Command, { kind: 'record-database' }>
type RecordInstance = Extract<Command, { kind: 'record-instance' | 'forget-instance' }>
type RecordRateHolders = Extract<Command, { kind: 'record-rate-holders' }>
type BeginElection = Extract<Command, { kind: 'begin-election' }>
type SetPrimary = Extract<Command, { kind: 'set-primary' }>

/** @returns the state before the first command */
export function createEmptyReplicatedState (): ReplicatedState {
  return { manifestVersion: 0, manifest: null, acceptedDigests: [], groups: [], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], serviceLevels: createEmptyServiceLevels() }
}

/**
 * Applies one committed command. The result depends only on the arguments, so all members derive the same state.
 * @param state - not modified
 * @returns the new state and the answer for the proposer
 */
export function applyCommand (state: ReplicatedState, command: Command): AppliedCommand {
  switch (command.kind) {
    case 'commit-manifest': return commitManifest(state, command)
    case 'adopt-manifest': return adoptManifest(state, command)
    case 'set-failure-domain': return setFailureDomain(state, command)
    case 'record-database': return recordDatabase(state, command)
    case 'record-instance':
    case 'forget-instance': return recordInstance(state, command)
    case 'record-rate-holders': return recordRateHolders(state, command)
    case 'begin-election': return beginElection(state, command)
    case 'set-primary': return setPrimary(state, command)
    case 'barrier': return { state, answer: { kind: 'barrier-passed' } }
    case 'count-requests': return { state: { ...state, serviceLevels: applyServiceLevels(state.serviceLevels, command) }, answer: { kind: 'requests-counted' } }
    case 'record-usage':
    case 'settle-usage': return recordUsage(state, command)
  }
}

function recordUsage (state: ReplicatedState, command: UsageCommand): AppliedCommand {
  const usage = applyUsage(state.usage, command)
  return { state: usage === undefined || usage === state.usage ? state : { ...state, usage }, answer: { kind: 'usage-recorded' } }
}

function commitManifest (state: ReplicatedState, command: CommitManifest): AppliedCommand {
  if (command.base !== state.manifestVersion) return { state, answer: buildBaseMismatchAnswer(state, command) }
  const manifestVersion = command.base + 1
  const accepted = { version: manifestVersion, digest: command.digest, operator: command.operator }
  return {
    state: {
      ...state,
      manifestVersion,
      manifest: command.manifest,
      manifestDocument: null,
      acceptedDigests: [...state.acceptedDigests, accepted].slice(-REMEMBERED_DIGEST_COUNT)
    },
    answer: { kind: 'manifest-accepted', manifestVersion, resent: false }
  }
}

function adoptManifest (state: ReplicatedState, command: AdoptManifest): AppliedCommand {
  const { version, manifest, document, digest, operator } = command
  if (version <= state.manifestVersion) return { state, answer: { kind: 'manifest-accepted', manifestVersion: version, resent: true } }
  return {
    state: {
      ...state,
      manifestVersion: version,
      manifest,
      manifestDocument: document,
      acceptedDigests: [...state.acceptedDigests, { version, digest, operator }].slice(-REMEMBERED_DIGEST_COUNT)
    },
    answer: { kind: 'manifest-accepted', manifestVersion: version, resent: false }
  }
}

function setFailureDomain (state: ReplicatedState, { failureDomain, out }: SetFailureDomain): AppliedCommand {
  const others = state.withdrawnDomains.filter((domain) => domain !== failureDomain)
  return { state: { ...state, withdrawnDomains: out ? [...others, failureDomain] : others }, answer: { kind: 'failure-domain-set' } }
}

function recordInstance (state: ReplicatedState, { kind, instance }: RecordInstance): AppliedCommand {
  const others = state.instances.filter((other) => other !== instance)
  return { state: { ...state, instances: kind === 'record-instance' ? [...others, instance] : others }, answer: { kind: 'instances-recorded' } }
}

/** Records of workspaces that the manifest no longer names are dropped; without a record, any instance may hold a share. */
function recordRateHolders (state: ReplicatedState, { holders }: RecordRateHolders): AppliedCommand {
  const replaced = new Set(holders.map(({ workspace }) => workspace))
  const named = new Set(state.manifest?.workspaces.map(({ id }) => id))
  const others = (state.rateHolders ?? []).filter(({ workspace }) => !replaced.has(workspace))
  return { state: { ...state, rateHolders: [...others, ...holders].filter(({ workspace }) => named.has(workspace)) }, answer: { kind: 'instances-recorded' } }
}

/**
 * A record of an earlier incarnation changes nothing unless the command supersedes the later one, and neither does another record of an
 * incarnation whose recorded state is `gone`.
 */
function recordDatabase (state: ReplicatedState, { database: record, superseded }: RecordDatabase): AppliedCommand {
  const answer: CommandAnswer = { kind: 'database-recorded' }
  const isNamed = ({ database, startedAt }: DatabaseRecord): boolean => superseded?.some((named) => named.database === database && named.startedAt === startedAt) === true
  const existing = state.databases.find(({ database }) => database === record.database)
  if (existing !== undefined && existing.startedAt > record.startedAt && !isNamed(existing)) return { state, answer }
  if (existing?.startedAt === record.startedAt && existing.state === 'gone') return { state, answer }
  const isReplaced = (other: DatabaseRecord): boolean => superseded === undefined ? other.address === record.address && other.startedAt < record.startedAt : isNamed(other)
  const others = state.databases.filter((other) => other.database !== record.database && !isReplaced(other))
  return { state: { ...state, databases: limitRecords(state, [...others, record]) }, answer }
}

/** Drops records above the limit: first those that no database of the manifest needs, then the ones that have not changed for the longest time. */
function limitRecords ({ manifest }: ReplicatedState, databases: DatabaseRecord[]): DatabaseRecord[] {
  const excess = databases.length - REMEMBERED_DATABASE_COUNT
  if (excess <= 0) return databases
  const groups = new Set((manifest?.groups ?? []).map(({ id }) => id))
  const rankOf = ({ group, state, unconfirmed }: DatabaseRecord): number => !groups.has(group) ? 0 : unconfirmed === true ? 1 : state === 'gone' ? 2 : 3
  // Sorting is stable, so records of one rank stay in the order of their changes.
  const dropped = new Set([...databases].sort((left, right) => rankOf(left) - rankOf(right)).slice(0, excess))
  return databases.filter((record) => !dropped.has(record))
}

function buildBaseMismatchAnswer (state: ReplicatedState, command: CommitManifest): CommandAnswer {
  const version = command.base + 1
  const accepted = state.acceptedDigests.find((entry) => entry.version === version)
  if (accepted !== undefined && accepted.digest === command.digest) {
    return { kind: 'manifest-accepted', manifestVersion: version, resent: true }
  }
  // The version does not exist yet or its digest was dropped. The newest accepted version is then the best one to compare with.
  const winner = accepted ?? state.acceptedDigests.at(-1)
  return {
    kind: 'manifest-conflict',
    currentVersion: state.manifestVersion,
    winningDigest: winner?.digest ?? '',
    winningOperator: winner?.operator ?? ''
  }
}

function beginElection (state: ReplicatedState, command: BeginElection): AppliedCommand {
  const group = findGroup(state, command.group)
  if (command.term <= group.term) return { state, answer: { kind: 'group-conflict', group } }
  return replaceGroup(state, { group: command.group, term: command.term, primary: null, phase: 'electing' })
}

function setPrimary (state: ReplicatedState, command: SetPrimary): AppliedCommand {
  const group = findGroup(state, command.group)
  if (group.phase !== 'electing' || command.term !== group.term) return { state, answer: { kind: 'group-conflict', group } }
  return replaceGroup(state, { ...group, primary: command.database, phase: 'serving' })
}

function findGroup (state: ReplicatedState, id: GroupId): ReplicatedGroup {
  const existing = state.groups.find((entry) => entry.group === id)
  return existing ?? { group: id, term: 0, primary: null, phase: 'serving' }
}

function replaceGroup (state: ReplicatedState, group: ReplicatedGroup): AppliedCommand {
  const others = state.groups.filter((entry) => entry.group !== group.group)
  return { state: { ...state, groups: [...others, group] }, answer: { kind: 'group-changed', group } }
}

import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { openControlStorage } from '../adapters/disk/control-storage.js'
import type { OpenedControlStorage } from '../adapters/disk/control-storage.js'
import { createConsensusController } from '../decisions/consensus/consensus-controller.js'
import type { ConsensusEffect, ConsensusInput } from '../decisions/consensus/consensus-effect.js'
import { applyCommand, createEmptyReplicatedState } from '../decisions/manifest/apply-command.js'
import type { ControlLog, ControlLogFailure } from '../types/control-log.js'
import type { DurableRecord, StorageFailure } from '../types/control-storage.js'
import type { CommandAnswer } from '../types/replicated-state.js'
import { resultCodes } from '../types/result-code.js'
import type { ControlLogOptions, ResolvedControlLogOptions } from './control-log-options.js'
import { resolveControlLogOptions } from './control-log-options.js'
import { checkConsensusMessage } from './consensus-message-schema.js'
import { createOpenCalls } from './open-calls.js'

/** The replicated log of a running control member. */
export interface ControlLogRunner extends ControlLog {
  /** Handles a decoded message of another member. Drops a value that is no valid message. */
  receive: (message: unknown) => void
  /** Stops the member and closes its files. Pending proposals and confirmations resolve as `unknown`. */
  stop: () => Promise<void>
}

/** Interval between ticks of the consensus controller, in ms. Well below the heartbeat interval of 75 ms, so that heartbeats and election time-outs are hardly late. */
const TICK_INTERVAL_MS = 25

/**
 * Opens the data folder and starts the member. A member with an empty data folder forms a cluster with the other members once all
 * of them answer and are empty too. If one of them already belongs to a cluster, the member joins that cluster.
 * @returns the running member, or `settingsInvalid`, `dataFolderUnusable` or `logDamaged` when it can't start
 */
export async function startControlLog (options: ControlLogOptions): Promise<Result<ControlLogRunner, StorageFailure>> {
  const resolved = resolveControlLogOptions(options)
  const settingsError = findSettingsError(resolved)
  if (settingsError !== null) return err({ code: resultCodes.settingsInvalid.code, message: settingsError })
  const opened = await openControlStorage(resolved.dataFolder)
  if (opened.isErr()) return err(opened.error)
  if (opened.value.cutBytes > 0) resolved.logEvent('logTailCut', { bytes: opened.value.cutBytes })
  return ok(createRunner(resolved, opened.value))
}

function findSettingsError (options: ResolvedControlLogOptions): string | null {
  const isListingRequired = options.consensus.openMembership !== true
  if (isListingRequired && !options.memberAddresses.includes(options.ownAddress)) return `the member addresses do not include this member's address ${options.ownAddress}`
  if (new Set(options.memberAddresses).size < options.memberAddresses.length) return 'a member address is listed twice'
  return null
}

function createRunner (options: ResolvedControlLogOptions, { storage, restored }: OpenedControlStorage): ControlLogRunner {
  const controller = createConsensusController({
    ...options.consensus,
    ownAddress: options.ownAddress,
    entryAddress: options.entryAddress,
    memberAddresses: options.memberAddresses,
    clock: options.clock,
    random: options.random,
    initialState: createEmptyReplicatedState(),
    apply: applyCommand,
    snapshotThreshold: options.snapshotThreshold
  }, restored)
  const proposals = createOpenCalls<CommandAnswer>()
  const confirmations = createOpenCalls<number>()
  const listeners: (() => void)[] = []
  const queuedEffects: ConsensusEffect[] = []
  let isRunningEffects = false
  let isStopped = false

  // Running an effect can cause the next input. The effects of that input must run after those that are still queued.
  function runEffects (added: ConsensusEffect[]): void {
    queuedEffects.push(...added)
    if (isRunningEffects) return
    isRunningEffects = true
    try {
      for (let effect = queuedEffects.shift(); effect !== undefined; effect = queuedEffects.shift()) runEffect(effect)
    } finally {
      isRunningEffects = false
    }
  }

  function runEffect (effect: ConsensusEffect): void {
    switch (effect.kind) {
      case 'send': return options.transport.send(effect.to, effect.message)
      case 'persist': return persist(effect.sequence, effect.records)
      case 'proposal-result': return proposals.settle(effect.proposal, effect.result)
      case 'confirmation-result': return confirmations.settle(effect.confirmation, effect.result)
      case 'changed': return listeners.forEach((listener) => listener())
      case 'log': return options.logEvent(effect.event, effect.details)
    }
  }

  function persist (sequence: number, records: DurableRecord[]): void {
    storage.persist(records).then((result) => {
      if (result.isOk()) handle({ kind: 'persisted', sequence })
      else fail(result.error)
    })
  }

  function handle (input: ConsensusInput): void {
    if (!isStopped) runEffects(controller.handle(input))
  }

  function stopMember (): void {
    isStopped = true
    stopTicking()
    proposals.settleAll(err({ kind: 'unknown' }))
    confirmations.settleAll(err({ kind: 'unknown' }))
  }

  function fail (failure: StorageFailure): void {
    if (isStopped) return
    stopMember()
    options.logEvent('failed', { code: failure.code, message: failure.message })
    options.onFailure(failure)
    listeners.forEach((listener) => listener())
  }

  const leaderAddress = () => isStopped ? null : controller.view().leaderAddress
  const toNotLeaderFailure = (): ControlLogFailure => ({ kind: 'not-leader', leaderAddress: leaderAddress() })

  const stopTicking = options.repeat(TICK_INTERVAL_MS, () => {
    if (!isStopped) runEffects(controller.tick())
  })

  return {
    isLeader: () => !isStopped && controller.view().role === 'leader',
    leaderAddress,
    term: () => controller.view().term,
    state: () => controller.view().state,
    memberAddresses: () => controller.view().log.members().filter(({ role }) => role === 'voter').map(({ address }) => address),
    propose: async (command) => {
      if (isStopped) return err(toNotLeaderFailure())
      const { number, result } = proposals.open()
      handle({ kind: 'propose', proposal: number, command })
      return await result
    },
    confirmLeadership: async () => {
      if (isStopped) return err(toNotLeaderFailure())
      const { number, result } = confirmations.open()
      handle({ kind: 'confirm', confirmation: number })
      return await result
    },
    provenMsAgo: () => isStopped ? null : controller.view().provenMsAgo,
    onChange: (listener) => { listeners.push(listener) },
    receive: (value) => {
      const message = checkConsensusMessage(value)
      if (message !== null) handle({ kind: 'received', message })
    },
    stop: async () => {
      if (!isStopped) stopMember()
      await storage.close()
    }
  }
}

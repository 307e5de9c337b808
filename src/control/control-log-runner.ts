import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { openControlStorage } from '../adapters/disk/control-storage.js'
import type { OpenedControlStorage } from '../adapters/disk/control-storage.js'
import { createConsensusController } from '../decisions/consensus/consensus-controller.js'
import type { ConsensusController, ConsensusView } from '../decisions/consensus/consensus-controller.js'
import type { ConsensusEffect, ConsensusInput } from '../decisions/consensus/consensus-effect.js'
import { applyCommand, createEmptyReplicatedState } from '../decisions/manifest/apply-command.js'
import type { Milliseconds } from '../types/clock.js'
import { milliseconds } from '../types/clock.js'
import type { ControlLog, ControlLogFailure } from '../types/control-log.js'
import type { DurableRecord, RestoredMember, StorageFailure } from '../types/control-storage.js'
import type { Repeat } from '../types/repeat.js'
import type { CommandAnswer, ReplicatedState } from '../types/replicated-state.js'
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

/** Time between attempts to use a data folder again that takes no writes. Each attempt is a few small file operations and a log line. */
const STORAGE_RETRY_INTERVAL_MS = milliseconds(500)

/**
 * Opens the data folder and starts the member. A member with an empty data folder forms a cluster with the other members once all
 * of them answer and are empty too. If one of them already belongs to a cluster, the member joins that cluster.
 *
 * While the data folder takes no writes, such as on a full disk, the member answers no other member, leads no more and refuses all calls. Its state in
 * memory is ahead of the disk then, so once the folder takes writes again the member starts anew from what the folder holds, as after a restart.
 * @returns the running member, or `settingsInvalid`, `dataFolderUnusable` or `logDamaged` when it can't start
 */
export async function startControlLog (options: ControlLogOptions): Promise<Result<ControlLogRunner, StorageFailure>> {
  const resolved = resolveControlLogOptions(options)
  const settingsError = findSettingsError(resolved)
  if (settingsError !== null) return err({ code: resultCodes.settingsInvalid.code, message: settingsError, isTemporary: false })
  const opened = await openStorage(resolved)
  if (opened.isErr()) return err(opened.error)
  if (opened.value.cutBytes > 0) resolved.logEvent('logTailCut', { bytes: opened.value.cutBytes })
  return ok(createRunner(resolved, opened.value))
}

/** Opens the data folder, and waits while its disk is full: a process that ended instead would be started again and again. */
async function openStorage (options: ResolvedControlLogOptions): Promise<Result<OpenedControlStorage, StorageFailure>> {
  for (let isRetry = false; ; isRetry = true) {
    const opened = await openControlStorage(options.dataFolder, options.files, isRetry)
    if (opened.isOk() && isRetry) options.logEvent('storageRecovered')
    if (opened.isOk() || !opened.error.isTemporary) return opened
    options.logEvent('storageUnavailable', { code: opened.error.code, message: opened.error.message })
    await waitOnce(options.repeat, STORAGE_RETRY_INTERVAL_MS)
  }
}

function waitOnce (repeat: Repeat, durationMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    const stop = repeat(durationMs, () => {
      stop()
      resolve()
    })
  })
}

function findSettingsError (options: ResolvedControlLogOptions): string | null {
  const isListingRequired = options.consensus.openMembership !== true
  if (isListingRequired && !options.memberAddresses.includes(options.ownAddress)) return `the member addresses do not include this member's address ${options.ownAddress}`
  if (new Set(options.memberAddresses).size < options.memberAddresses.length) return 'a member address is listed twice'
  return null
}

function createRunner (options: ResolvedControlLogOptions, { storage, restored }: OpenedControlStorage): ControlLogRunner {
  const createController = (durable: RestoredMember): ConsensusController => createConsensusController({
    ...options.consensus,
    ownAddress: options.ownAddress,
    entryAddress: options.entryAddress,
    memberAddresses: options.memberAddresses,
    clock: options.clock,
    random: options.random,
    initialState: createEmptyReplicatedState(),
    apply: applyCommand,
    snapshotThreshold: options.snapshotThreshold
  }, durable)
  /** Null while the data folder takes no writes. */
  let controller: ConsensusController | null = createController(restored)
  let lastView = controller.view()
  let applied = { commitIndex: lastView.commitIndex, state: lastView.state }
  let lastRecoveryAt = options.clock.now()
  let isRecovering = false
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
      case 'changed': return notifyListeners()
      case 'log': return options.logEvent(effect.event, effect.details)
    }
  }

  function persist (sequence: number, records: DurableRecord[]): void {
    const writer = controller
    storage.persist(records).then((result) => {
      // After a failure, the writes that a former controller had begun fail too.
      if (writer !== controller) return
      if (result.isOk()) handle({ kind: 'persisted', sequence })
      else if (result.error.isTemporary) suspend(result.error)
      else fail(result.error)
    })
  }

  function handle (input: ConsensusInput): void {
    if (!isStopped && controller !== null) runEffects(controller.handle(input))
  }

  /** Gives up the state in memory, which is ahead of the disk, until the data folder takes writes again. */
  function suspend (failure: StorageFailure): void {
    if (isStopped) return
    handle({ kind: 'storage-failed' })
    readState()
    lastView = view()
    controller = null
    lastRecoveryAt = options.clock.now()
    settleCalls()
    logStorageFailure(failure)
    notifyListeners()
  }

  async function recover (): Promise<void> {
    isRecovering = true
    const recovered = await storage.recover()
    isRecovering = false
    lastRecoveryAt = options.clock.now()
    if (isStopped) return
    if (recovered.isErr() && recovered.error.isTemporary) return logStorageFailure(recovered.error)
    if (recovered.isErr()) return fail(recovered.error)
    controller = createController(recovered.value)
    options.logEvent('storageRecovered')
    notifyListeners()
  }

  function logStorageFailure (failure: StorageFailure): void {
    options.logEvent('storageUnavailable', { code: failure.code, message: failure.message })
  }

  const notifyListeners = (): void => listeners.forEach((listener) => listener())

  function settleCalls (): void {
    proposals.settleAll(err({ kind: 'unknown' }))
    confirmations.settleAll(err({ kind: 'unknown' }))
  }

  const view = (): ConsensusView => controller?.view() ?? lastView

  /** @returns the newest state applied; a controller created anew starts with the state of its snapshot, which must not be shown after a newer one */
  function readState (): ReplicatedState {
    const { commitIndex, state } = view()
    if (commitIndex >= applied.commitIndex) applied = { commitIndex, state }
    return applied.state
  }

  function stopMember (): void {
    isStopped = true
    stopTicking()
    settleCalls()
  }

  function fail (failure: StorageFailure): void {
    if (isStopped) return
    handle({ kind: 'storage-failed' })
    stopMember()
    options.logEvent('failed', { code: failure.code, message: failure.message })
    options.onFailure(failure)
    notifyListeners()
  }

  const isActive = (): boolean => !isStopped && controller !== null
  const leaderAddress = () => isActive() ? view().leaderAddress : null
  const toNotLeaderFailure = (): ControlLogFailure => ({ kind: 'not-leader', leaderAddress: leaderAddress() })

  const stopTicking = options.repeat(TICK_INTERVAL_MS, () => {
    if (controller !== null) runEffects(controller.tick())
    else if (!isRecovering && options.clock.now() - lastRecoveryAt >= STORAGE_RETRY_INTERVAL_MS) recover()
  })

  return {
    isLeader: () => isActive() && view().role === 'leader',
    leaderAddress,
    term: () => view().term,
    state: readState,
    memberAddresses: () => view().log.members().filter(({ role }) => role === 'voter').map(({ address }) => address),
    propose: async (command) => {
      if (!isActive()) return err(toNotLeaderFailure())
      const { number, result } = proposals.open()
      handle({ kind: 'propose', proposal: number, command })
      return await result
    },
    confirmLeadership: async () => {
      if (!isActive()) return err(toNotLeaderFailure())
      const { number, result } = confirmations.open()
      handle({ kind: 'confirm', confirmation: number })
      return await result
    },
    provenMsAgo: () => isActive() ? view().provenMsAgo : null,
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

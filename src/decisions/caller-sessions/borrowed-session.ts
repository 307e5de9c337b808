import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { DatabaseReply } from '../../types/database-session.js'
import type { DirectoryInstance } from '../../types/directory.js'
import type { InstanceId } from '../../types/ids.js'
import type { LoanAnswer, LoanTerms, PeerCallAnswer, PeerCallBody, RunBorrowed, SentValues } from '../../types/session-peer-message.js'
import type { PooledSession } from './pooled-session.js'
import type { ValuesView } from './session-values.js'
import type { StatementLoss, StatementRun } from './statement-runner.js'

/**
 * - `unsent`: no open channel to the instance; it knows nothing of the call
 * - `lost`: no answer in time, or the channel ended
 */
export type PeerLoss = 'unsent' | 'lost'

/** Calls to other instances. */
export interface PeerCalls {
  call: (peer: DirectoryInstance, body: PeerCallBody, limitMs: number) => Promise<Result<PeerCallAnswer['body'], PeerLoss>>
  /** Gives a loan back; nothing is answered. */
  endLoan: (peer: DirectoryInstance, loan: number, keep: boolean) => void
  /** Asks nothing of an instance for some time. */
  avoid: (peer: InstanceId) => void
  /** @returns whether the instance may be asked */
  isUsable: (peer: InstanceId) => boolean
}

/** Holders that are asked for one statement before it is given up. */
const MAX_HOLDERS_ASKED = 3

export interface BorrowedSessionOptions {
  calls: PeerCalls
  loan: number
  terms: LoanTerms
  /** @returns the holders in the order in which they are asked */
  holders: () => readonly DirectoryInstance[]
  /** The holder could not connect to the database. */
  onUnreachable: () => void
}

/** A connection that another instance holds. It is taken there with the first statement, so that borrowing costs no round trip. */
export interface BorrowedSession extends PooledSession {
  /** Gives the connection back. @param keep - it is outside of any transaction */
  giveBack: (keep: boolean) => void
}

/** Prepares to borrow a connection; nothing is sent yet. */
export function createBorrowedSession ({ calls, loan, terms, holders, onUnreachable }: BorrowedSessionOptions): BorrowedSession {
  let holder: DirectoryInstance | null = null
  let lastHolder: InstanceId | null = null
  let sentVersion = 0

  async function run (run: StatementRun): Promise<Result<DatabaseReply, StatementLoss>> {
    const answered = holder === null ? await begin(run) : await calls.call(holder, bodyOf(run, null), run.limitMs)
    if (answered.isErr()) {
      session.ended = true
      return err({ kind: 'holder-lost', message: `the instance that holds the connection gave no answer (${answered.error})` })
    }
    return conclude(answered.value as LoanAnswer, run.isLast)
  }

  async function begin (run: StatementRun): Promise<Result<PeerCallAnswer['body'], PeerLoss>> {
    for (const candidate of holders().slice(0, MAX_HOLDERS_ASKED)) {
      holder = candidate
      lastHolder = candidate.instance
      sentVersion = 0
      const answered = await calls.call(candidate, bodyOf(run, terms), run.limitMs)
      const isDraining = answered.isOk() && answered.value.kind === 'not-run' && answered.value.cause === 'draining'
      if (isDraining) calls.avoid(candidate.instance)
      else if (answered.isOk() || answered.error === 'lost') return answered
    }
    holder = null
    return ok({ kind: 'not-run', cause: 'no-connection' })
  }

  function bodyOf ({ id, statement, after, values, limitMs, isLast }: StatementRun, sentTerms: LoanTerms | null): RunBorrowed {
    const definition = statement.kind === 'execute' ? values.prepared.get(statement.name) ?? null : null
    return { kind: 'run-borrowed', loan, terms: sentTerms, id, statement, definition, after, values: valuesToSend(values), limitMs, isLast }
  }

  function valuesToSend (values: ValuesView): SentValues | null {
    const version = values.version()
    if (version === sentVersion) return null
    sentVersion = version
    return { owner: values.owner, version, changes: [...values.since(0)] }
  }

  function conclude (answer: LoanAnswer, isLast: boolean): Result<DatabaseReply, StatementLoss> {
    if (answer.kind === 'loss') {
      session.ended = true
      return err({ kind: answer.silent ? 'silent' : 'lost', message: answer.message })
    }
    if (answer.kind === 'not-run') {
      holder = null
      if (answer.cause === 'unreachable') onUnreachable()
      return ok({ rows: [], outcome: { kind: 'error', error: 'not-sent', message: `the holder has no connection (${answer.cause})` }, state: 'idle', position: null })
    }
    // The holder has given the connection back to itself, or closed it.
    if (isLast) holder = null
    return ok(answer.reply)
  }

  function giveBack (keep: boolean): void {
    if (holder !== null && !session.ended) calls.endLoan(holder, loan, keep)
    holder = null
    session.ended = true
  }

  const session: BorrowedSession = { database: terms.database, workspace: terms.workspace, isFresh: true, ended: false, heldBy: () => lastHolder, run, giveBack, close: () => { giveBack(false) } }
  return session
}

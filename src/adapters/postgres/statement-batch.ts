import pg from 'pg'
import type { Connection, Submittable } from 'pg'
import type { ColumnValue, Row } from '../../types/outcome.js'
import { decodeColumnValue, encodeColumnValue } from './column-value.js'

/** One statement with its values. */
export interface BatchStatement {
  text: string
  values: readonly ColumnValue[]
}

export interface StatementResult {
  rows: Row[]
  rowCount: number
  /** Command in the completion tag, for instance `COMMIT`. */
  command: string
}

/** `results` contains the results of the statements that completed, in order. */
export type BatchOutcome =
  | { kind: 'completed', results: StatementResult[] }
  | { kind: 'error', sqlState: string, message: string, results: StatementResult[] }
  /** `submitted`: whether the client wrote the batch to the socket. */
  | { kind: 'lost', message: string, submitted: boolean }

interface Field {
  name: string
  dataTypeID: number
}

const ROW_COUNT = /(\d+)$/

/**
 * Sends several statements over the extended query protocol in one packet with one Sync and collects their results.
 * The `pg` client runs it like a query.
 */
export class StatementBatch implements Submittable {
  readonly outcome: Promise<BatchOutcome>
  private readonly results: StatementResult[] = []
  private fields: Field[] = []
  private rows: Row[] = []
  private submitted = false
  private settle: (outcome: BatchOutcome) => void = () => {}

  constructor (private readonly statements: readonly BatchStatement[]) {
    this.outcome = new Promise((resolve) => { this.settle = resolve })
  }

  submit (connection: Connection): void {
    this.submitted = true
    connection.stream.cork()
    for (const { text, values } of this.statements) {
      connection.parse({ text, name: '', types: [] }, true)
      connection.bind({ portal: '', statement: '', binary: '', values: values.map(encodeColumnValue) }, true)
      connection.describe({ type: 'P', name: '' }, true)
      connection.execute({ portal: '', rows: '' }, true)
    }
    connection.sync()
    connection.stream.uncork()
  }

  handleRowDescription (message: { fields: Field[] }): void {
    this.fields = message.fields
  }

  handleDataRow (message: { fields: (string | null)[] }): void {
    const entries = this.fields.map(({ name, dataTypeID }, index): [string, ColumnValue] => [name, decodeColumnValue(dataTypeID, message.fields[index] ?? null)])
    this.rows.push(Object.fromEntries(entries))
  }

  handleCommandComplete (message: { text: string }): void {
    const count = ROW_COUNT.exec(message.text)?.[1]
    this.complete(message.text.split(' ', 1)[0] ?? '', count === undefined ? 0 : Number(count))
  }

  handleEmptyQuery (): void {
    this.complete('', 0)
  }

  handleReadyForQuery (): void {
    this.settle({ kind: 'completed', results: this.results })
  }

  handleError (error: Error): void {
    // A fatal error ends the connection and does not show whether a commit took effect.
    if (error instanceof pg.DatabaseError && error.severity !== 'FATAL' && error.severity !== 'PANIC') {
      this.settle({ kind: 'error', sqlState: error.code ?? '', message: error.message, results: this.results })
      return
    }
    this.settle({ kind: 'lost', message: error.message, submitted: this.submitted })
  }

  handlePortalSuspended (connection: Connection): void {
    this.destroyOnUnexpectedMessage(connection, 'portal suspended')
  }

  handleCopyInResponse (connection: Connection): void {
    this.destroyOnUnexpectedMessage(connection, 'copy')
  }

  handleCopyData (): void {}

  private complete (command: string, rowCount: number): void {
    this.results.push({ rows: this.rows, rowCount, command })
    this.rows = []
    this.fields = []
  }

  private destroyOnUnexpectedMessage (connection: Connection, answer: string): void {
    connection.stream.destroy(new Error(`the database sent an unexpected message: ${answer}`))
  }
}

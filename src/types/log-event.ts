export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

export interface LogEventEntry {
  readonly event: number
  readonly name: string
  readonly level: LogLevel
  /** What happened, for the table in docs/events.md. */
  readonly meaning: string
}

/**
 * Every numbered log event. docs/events.md is generated from this table (`npm run docs:tables`).
 * 1xx: process; 2xx: control log; 3xx: instances and freshness; 4xx: databases and failover; 5xx: requests; 6xx: configuration; 7xx: metering.
 */
export const logEvents = {
  started: { event: 101, name: 'started', level: 'info', meaning: 'The process listens on its addresses.' },
  stopping: { event: 102, name: 'stopping', level: 'info', meaning: 'A graceful shutdown began.' },
  stopped: { event: 103, name: 'stopped', level: 'info', meaning: 'The process ends after a graceful shutdown; an entry instance gives the time since the signal, and the sessions and lent connections that were still busy.' },
  failed: { event: 104, name: 'failed', level: 'error', meaning: 'The process ends because of an error.' },
  unexpectedError: { event: 105, name: 'unexpected-error', level: 'error', meaning: 'An error that no code expected ended one task. An entry instance continues; a control instance ends and is restarted from its data folder.' },

  leaderElected: { event: 201, name: 'leader-elected', level: 'info', meaning: 'This member became leader of the control log.' },
  leadershipLost: { event: 202, name: 'leadership-lost', level: 'warn', meaning: 'This member stepped down as leader.' },
  memberAdded: { event: 203, name: 'member-added', level: 'info', meaning: 'A control member joined as a learner or became a voter.' },
  memberRemoved: { event: 204, name: 'member-removed', level: 'warn', meaning: 'A control member was removed.' },
  logTailCut: { event: 205, name: 'log-tail-cut', level: 'warn', meaning: 'An incomplete record at the end of the log was cut off.' },
  snapshotWritten: { event: 206, name: 'snapshot-written', level: 'info', meaning: 'The log was replaced by a snapshot.' },
  clusterFormed: { event: 207, name: 'cluster-formed', level: 'info', meaning: 'The first start formed the control cluster.' },
  storageUnavailable: { event: 208, name: 'storage-unavailable', level: 'error', meaning: 'The data folder takes no writes, as when its disk is full. The member takes no part in the control log and tries again at intervals; a start waits.' },
  storageRecovered: { event: 209, name: 'storage-recovered', level: 'info', meaning: 'The data folder takes writes again; the member continues from what the folder holds.' },

  instanceJoined: { event: 301, name: 'instance-joined', level: 'info', meaning: 'The leader received the first heartbeat of an incarnation.' },
  instanceLost: { event: 302, name: 'instance-lost', level: 'warn', meaning: 'An instance sent no heartbeat for one lease.' },
  grantingBegan: { event: 310, name: 'granting-began', level: 'info', meaning: 'A new leader knows all shares of former leaders, or they have expired; until then it granted only what these could not contain.' },
  instanceLeft: { event: 309, name: 'instance-left', level: 'info', meaning: 'An instance left as planned and returned its shares.' },
  freshnessLost: { event: 303, name: 'freshness-lost', level: 'warn', meaning: 'The freshness lease of this instance expired.' },
  freshnessRegained: { event: 304, name: 'freshness-regained', level: 'info', meaning: 'This instance has a freshness lease again.' },
  controlChanged: { event: 305, name: 'control-changed', level: 'info', meaning: 'An answer was overdue, so this instance switched to another control member.' },
  peerConnectionLost: { event: 306, name: 'peer-connection-lost', level: 'warn', meaning: 'The connection to another process of the system ended or became silent.' },
  peerCallFailed: { event: 308, name: 'peer-call-failed', level: 'error', meaning: 'An unexpected error prevented the answer to a call of another instance.' },
  messageRejected: { event: 313, name: 'message-rejected', level: 'error', meaning: 'A message of another process could not be handled, such as one of an unknown kind or version; the channel was reset.' },
  loanStatementLate: { event: 311, name: 'loan-statement-late', level: 'warn', meaning: 'A statement for a lent connection was not sent to the database, since its borrower may have stopped waiting; gives the borrower, how late it is, and how far this instance was with it.' },
  eventLoopPaused: { event: 312, name: 'event-loop-paused', level: 'warn', meaning: 'This process stood still: it was paused, suspended, or busy for too long.' },
  holdersChanged: { event: 307, name: 'holders-changed', level: 'info', meaning: 'The connection holders of a group changed.' },

  databaseAnnounced: { event: 401, name: 'database-announced', level: 'info', meaning: 'A database announced itself for the first time or changed its address.' },
  databaseDeparting: { event: 402, name: 'database-departing', level: 'info', meaning: 'A database announced that it is leaving.' },
  databaseSilent: { event: 403, name: 'database-silent', level: 'warn', meaning: 'A database stopped answering this instance.' },
  connectionRejected: { event: 413, name: 'connection-rejected', level: 'info', meaning: 'A database refused a connection because it has too many; gives the number of connections of this instance.' },
  failoverBegan: { event: 404, name: 'failover-began', level: 'warn', meaning: 'The control leader considered the primary of a group lost and began a new term.' },
  candidateChosen: { event: 412, name: 'candidate-chosen', level: 'info', meaning: 'An election chose the database to promote; gives role, newest known promotion and position of each database that answered.' },
  failoverEnded: { event: 405, name: 'failover-ended', level: 'info', meaning: 'A new primary serves the group.' },
  switchoverBegan: { event: 406, name: 'switchover-began', level: 'info', meaning: 'A planned change of primary began.' },
  switchoverEnded: { event: 407, name: 'switchover-ended', level: 'info', meaning: 'A planned change of primary ended.' },
  databaseRoleChanged: { event: 410, name: 'database-role-changed', level: 'info', meaning: 'A database announced a different role.' },
  announcementUnreadable: { event: 411, name: 'announcement-unreadable', level: 'warn', meaning: 'An announcement could not be parsed or comes from another kind of sender; no database is registered from it.' },
  announcementHeld: { event: 414, name: 'announcement-held', level: 'warn', meaning: 'An announcement claims the id or address of a database that still runs; it is neither recorded nor acknowledged until that one is silent.' },
  databaseReinstated: { event: 415, name: 'database-reinstated', level: 'warn', meaning: 'A database that goes on announcing itself replaced a record with a later start, whose sender is silent.' },
  databaseUnconfirmed: { event: 416, name: 'database-unconfirmed', level: 'warn', meaning: 'A database announced itself once only and never answered; it is not used before it announces itself again.' },
  databaseRecordFailed: { event: 417, name: 'database-record-failed', level: 'warn', meaning: 'The control log did not confirm a record of a database; the control leader proposes it again while it is needed.' },
  electionIncomplete: { event: 418, name: 'election-incomplete', level: 'warn', meaning: 'A database was chosen as primary without the positions of others that have been gone for too long; acknowledged commits that only these have are lost.' },
  databaseAbsent: { event: 419, name: 'database-absent', level: 'warn', meaning: 'Elections of a group can do without the position of this database until it gives a sign again: another replica holds its log, or it has been gone for too long.' },
  connectionSilent: { event: 408, name: 'connection-silent', level: 'warn', meaning: 'A database connection missed its deadline and was closed.' },
  databaseOrderFailed: { event: 409, name: 'database-order-failed', level: 'warn', meaning: 'A database did not carry out an order to fence or promote.' },

  requestFailed: { event: 501, name: 'request-failed', level: 'error', meaning: 'An unexpected error ended a request.' },
  operationFinished: { event: 503, name: 'operation-finished', level: 'info', meaning: 'A session operation succeeded; gives the database, the required position and its age.' },
  operationRefused: { event: 504, name: 'operation-refused', level: 'info', meaning: 'A session operation was refused; gives the result, what the refusal promises, and the inputs of the decision.' },
  statementRetried: { event: 505, name: 'statement-retried', level: 'info', meaning: 'A statement that has not run is retried, usually at another database.' },
  callerConnectionCut: { event: 507, name: 'caller-connection-cut', level: 'warn', meaning: 'This instance ended the connection of a caller with a statement in progress or before the operating system had taken the whole answer; gives the statement, its age, the state of the session, the database of its connection, and the bytes not taken.' },
  statementInterrupted: { event: 508, name: 'statement-interrupted', level: 'warn', meaning: 'A stopping instance answered a statement that its database had not answered yet; gives the database and what the answer promises.' },
  databaseOverloaded: { event: 509, name: 'database-overloaded', level: 'warn', meaning: 'This lender refused operations for want of a slot or connection of a database; logged once per second and database at most, with the refusals since the last line by cause, the queue and the limit of statements in flight.' },
  linesDropped: { event: 506, name: 'lines-dropped', level: 'warn', meaning: 'Log lines were dropped to bound their volume.' },
  clientLimited: { event: 513, name: 'client-limited', level: 'warn', meaning: 'A limit closed or refused the connection of a client; gives the limit and the address of the client.' },
  wrongfulRefusal: { event: 502, name: 'wrongful-refusal', level: 'warn', meaning: 'A request within the rate of its workspace was refused.' },

  crossDomainReadsBegan: { event: 511, name: 'cross-domain-reads-began', level: 'info', meaning: 'Reads of a group begin to leave the failure domain of this instance; gives the expected times of a read at the best database there and elsewhere, that of an unloaded database, and the price, in milliseconds.' },
  crossDomainReadsEnded: { event: 512, name: 'cross-domain-reads-ended', level: 'info', meaning: 'No more reads of a group leave the failure domain of this instance while a database there can serve them; gives the same times as event 511.' },

  manifestAccepted: { event: 601, name: 'manifest-accepted', level: 'info', meaning: 'The control log accepted a manifest.' },
  manifestRefused: { event: 602, name: 'manifest-refused', level: 'warn', meaning: 'A manifest commit was refused.' },
  manifestInForce: { event: 603, name: 'manifest-in-force', level: 'info', meaning: 'This instance applies a new manifest version.' },
  failureDomainOut: { event: 604, name: 'failure-domain-out', level: 'warn', meaning: 'A failure domain was taken out.' },
  failureDomainIn: { event: 605, name: 'failure-domain-in', level: 'info', meaning: 'A failure domain was brought back.' },
  settingsReloaded: { event: 606, name: 'settings-reloaded', level: 'info', meaning: 'TLS keys or log level were read again.' },

  usageReported: { event: 701, name: 'usage-reported', level: 'info', meaning: 'The authority accepted the usage report of a window.' },
  usageReportedLate: { event: 702, name: 'usage-reported-late', level: 'warn', meaning: 'The authority accepted the usage report of a window after its due time.' },
  usageLeftOut: { event: 703, name: 'usage-left-out', level: 'error', meaning: 'The windows from `from` to `to` are not reported; gives the reason.' },
  usageRefused: { event: 704, name: 'usage-refused', level: 'warn', meaning: 'The authority has seen a higher fencing token; this leader reports nothing more in its term.' },
  usageCallFailed: { event: 705, name: 'usage-call-failed', level: 'warn', meaning: 'A usage report got no answer or was not accepted; it is sent again with the same figures.' }
} as const satisfies Record<string, LogEventEntry>

export type LogEventName = keyof typeof logEvents

/** Values logged with an event. They contain no key, digest or caller data. */
export type LogDetails = Record<string, string | number | boolean | null>

/** Writes one numbered event. */
export type LogEvent = (name: LogEventName, details?: LogDetails) => void

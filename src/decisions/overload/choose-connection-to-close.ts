import type { Milliseconds } from '../../types/clock.js'

/** A connection as the decision sees it. */
export interface ConnectionLoad {
  /** Address of the client. */
  readonly client: string
  /** Whether the client has opened a session. */
  readonly hasSession: boolean
  /** Whether a statement or a transaction of the client is in progress. */
  readonly isBusy: boolean
  /** Time of the last message, or of the connection while there was none. */
  readonly lastUsedAt: Milliseconds
}

/**
 * Handles more connections than an instance accepts. Selects one that gives way to a new connection: first one without a session, which has lost
 * nothing, then an idle session of the client address with most connections; in each case the one that has been unused longest.
 * @returns null when all connections are busy, so that the new one is refused
 */
export function chooseConnectionToClose<Connection extends ConnectionLoad> (connections: readonly Connection[]): Connection | null {
  const withoutSession = connections.filter(({ hasSession, isBusy }) => !hasSession && !isBusy)
  if (withoutSession.length > 0) return findLongestUnused(withoutSession)
  const countByClient = new Map<string, number>()
  for (const { client } of connections) countByClient.set(client, (countByClient.get(client) ?? 0) + 1)
  const idle = connections.filter(({ isBusy }) => !isBusy)
  const most = Math.max(...idle.map(({ client }) => countByClient.get(client) ?? 0))
  return findLongestUnused(idle.filter(({ client }) => countByClient.get(client) === most))
}

function findLongestUnused<Connection extends ConnectionLoad> (connections: readonly Connection[]): Connection | null {
  return connections.reduce<Connection | null>((longest, connection) => longest === null || connection.lastUsedAt < longest.lastUsedAt ? connection : longest, null)
}

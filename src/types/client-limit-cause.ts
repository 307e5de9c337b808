/**
 * Limit that closed or refused the connection of a client.
 * - `connections`: too many connections
 * - `no-start`: no session was opened in time
 * - `message-stalled`, `answer-stalled`: a message or an answer made too little progress
 * - `answer-memory`: unread answers filled their memory
 * - `not-closed`: the client did not close its side
 * - `pipelining`: too many HTTP requests without reading the answers
 * - `handshake`: no TLS handshake or no proof of the secret in time
 */
export type ClientLimitCause = 'connections' | 'no-start' | 'message-stalled' | 'answer-stalled' | 'answer-memory' | 'not-closed' | 'pipelining' | 'handshake'

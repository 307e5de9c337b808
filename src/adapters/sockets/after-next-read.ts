/**
 * Calls back once the event loop has read what the operating system holds, so that a message which has arrived is answered and not discarded.
 * The first immediate callback may run in the turn that has already asked for readable sockets.
 */
export function afterNextRead (callback: () => void): void {
  setImmediate(() => { setImmediate(callback) })
}

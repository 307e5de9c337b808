import { connect } from 'node:net'

/** Runs in a child process: opens idle connections, sends `open` to the parent when all are open, and keeps them until the parent kills it. */
async function openConnections (port: number, count: number): Promise<void> {
  for (let opened = 0; opened < count; opened++) {
    await new Promise<void>((resolve, reject) => {
      const socket = connect(port, '127.0.0.1', resolve)
      socket.once('error', reject)
    })
  }
  process.send?.('open')
}

await openConnections(Number(process.argv[2]), Number(process.argv[3]))

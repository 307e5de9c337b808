// Calls of the operator and of databases to the control machines: follows redirects twice, then tries the next machine.
import { request } from 'node:http'
import { pause } from './fleet.mjs'

export function callOnce ({ host, port }, method, path, body, limitMs = 1000) {
  return new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body)
    const call = request({ host, port, method, path, timeout: limitMs, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) } }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('end', () => resolve({ status: response.statusCode, location: response.headers.location, body: Buffer.concat(chunks).toString() }))
    })
    call.on('timeout', () => call.destroy(new Error('no answer')))
    call.on('error', () => resolve({ status: 0 }))
    call.end(text)
  })
}

async function callFollowing (address, method, path, body) {
  let answer = await callOnce(address, method, path, body)
  for (let redirects = 0; redirects < 2 && answer.status === 307; redirects++) {
    const url = new URL(answer.location)
    answer = await callOnce({ host: url.hostname, port: Number(url.port) }, method, url.pathname, body)
  }
  return answer
}

/** Sends an order until a machine confirms it. @returns whether one did within `limitMs` */
export async function order (addresses, method, path, body, limitMs) {
  const until = performance.now() + limitMs
  for (let index = Math.floor(Math.random() * addresses.length); performance.now() < until; index++) {
    const answer = await callFollowing(addresses[index % addresses.length], method, path, body)
    if (answer.status >= 200 && answer.status < 300) return answer
    await pause(100)
  }
  return null
}

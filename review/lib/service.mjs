// Stand-in for one service of three databases, their liveness reports, and the authority that appoints primaries.
import { createServer } from 'node:http'
import { startDatabase } from './database.mjs'
import { createGroup } from './group.mjs'
import { order } from './operator.mjs'

const HEARTBEAT_MS = 1200
const CONFLICT = 409

export async function startService ({ name, hosts, port, zones, maxConnections, workMs, syncReplicas, promoteMs, now }) {
  const group = createGroup({ syncReplicas, promoteMs, now })
  const runs = []
  let controls = []

  async function start (id, host, zone, log) {
    const member = { id, host, zone, address: `${host}:${port}`, sequence: 0, born: Date.now(), state: 'ready', timer: null, log }
    group.add(member)
    member.process = await startDatabase(member, { group, service: name, port, maxConnections, workMs, runs, now })
    return member
  }

  /** Sends a liveness report. @returns whether it was confirmed */
  async function report (member) {
    const body = { service: name, address: member.address, zone: member.zone, version: 'v1', slots: 5, state: member.state, cold_remaining_ms: 0, db_role: group.isPrimary(member) ? 'primary' : 'replica', sequence: ++member.sequence, born: member.born }
    return await order(controls, 'POST', `/api/instances/${member.id}/heartbeat`, body, 1000) !== null
  }

  function reportRegularly (member) {
    let role = null
    let reportedAt = -Infinity
    member.timer = setInterval(() => {
      const isNewRole = role !== group.isPrimary(member)
      if (!isNewRole && performance.now() - reportedAt < HEARTBEAT_MS) return
      role = group.isPrimary(member)
      reportedAt = performance.now()
      report(member)
    }, 20)
  }

  function stopProcess (member) {
    clearInterval(member.timer)
    member.process.end()
  }

  for (const [index, host] of hosts.entries()) await start(`i-${name}-${index + 1}`, host, zones[index])

  const fence = { token: 0 }
  const calls = []
  const authority = createServer((request, response) => {
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', () => {
      const token = Number(request.headers['fencing-token'])
      const holder = request.headers['lease-holder']
      const { id } = JSON.parse(Buffer.concat(chunks).toString())
      const isAccepted = token >= fence.token && group.promote(id, token, holder)
      fence.token = Math.max(fence.token, token)
      calls.push({ at: now(), holder, token, id, status: isAccepted ? 200 : CONFLICT })
      response.writeHead(isAccepted ? 200 : CONFLICT, { 'content-length': 0 }).end()
    })
  })

  return {
    name,
    group,
    runs,
    calls,
    members: group.members,
    valueOf: (item) => group.valueOf(group.primary(), item),
    /** Sets a value as if another path than the proxy had written it. */
    store: (item, data) => group.commit(group.primary(), new Map([[item, data]]), null),
    listenAuthority: (host, authorityPort) => new Promise((resolve) => authority.listen(authorityPort, host, resolve)),
    announceTo: (addresses) => {
      controls = addresses
      for (const member of group.members) reportRegularly(member)
    },
    /** A database reports that it is to be replaced. @returns whether that was confirmed */
    drain: async (member) => {
      member.state = 'draining'
      return await report(member)
    },
    /** Ends a database as planned: it deregisters and exits. A new one at its address gets its log, `pauseMs` later. */
    replace: async (member, pauseMs) => {
      clearInterval(member.timer)
      await order(controls, 'POST', `/api/instances/${member.id}/deregister`, { service: name, sequence: ++member.sequence, born: member.born }, 1000)
      stopProcess(member)
      group.remove(member)
      await new Promise((resolve) => setTimeout(resolve, pauseMs))
      const successor = await start(`${member.id}-next`, member.host, member.zone, member.log)
      reportRegularly(successor)
      return successor
    },
    /** The process of a database dies. */
    crash: stopProcess
  }
}

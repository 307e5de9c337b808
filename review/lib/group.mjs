// Logs and terms of the databases of one service: commits, replication, promotion, as the users' pages describe them.

/** Time in which a replica receives a commit over the network, in milliseconds. */
const RECEIVE_MS = 2

/**
 * @param syncReplicas - replicas that must have received a commit before it is acknowledged (0 or 1)
 */
export function createGroup ({ syncReplicas, promoteMs, now }) {
  const members = []
  let primary = null
  const commits = []

  function add (member) {
    Object.assign(member, { log: member.log ?? [], term: primary?.term ?? 1, fencedTerm: 0, isDeaf: false, isDown: false, receivers: [] })
    members.push(member)
    primary ??= member
    if (member !== primary) receiveSoon(member)
  }

  function canReceive (member) {
    return member !== primary && !member.isDown && !member.isDeaf && member.fencedTerm === 0 && !primary.isDown
  }

  function receiveSoon (member) {
    setTimeout(() => {
      if (!canReceive(member)) return
      member.term = primary.term
      // A replica that was ahead of a new primary is rolled back.
      const common = member.log.findIndex((entry, index) => entry !== primary.log[index])
      if (common >= 0) member.log.length = common
      member.log.push(...primary.log.slice(member.log.length))
      for (const waiter of primary.receivers.splice(0)) waiter()
    }, RECEIVE_MS)
  }

  /** Appends a commit at the primary. @returns whether it may be acknowledged, which can take as long as no replica receives */
  async function commit (member, writes, id) {
    const entry = { term: member.term, number: (member.log.at(-1)?.number ?? 0) + 1, writes, id, at: now(), acknowledgedAt: null }
    member.log.push(entry)
    commits.push(entry)
    for (const other of members) receiveSoon(other)
    if (syncReplicas === 0) return !member.isDown
    while (!members.some((other) => other !== member && !other.isDown && other.log[entry.number - 1] === entry)) {
      await new Promise((resolve) => member.receivers.push(resolve))
      if (primary !== member) return false
    }
    return primary === member && !member.isDown
  }

  const promotions = []
  /** Appoints a database; it leads the next term with what it has received by then. */
  function promote (id, token, holder) {
    const target = members.find((member) => member.id === id && !member.isDown)
    if (target === undefined) return false
    if (target === primary) return true
    setTimeout(() => {
      if (target === primary || target.isDown) return
      const term = Math.max(...members.map((member) => member.term)) + 1
      promotions.push({ at: now(), id, token, holder, term, log: target.log.slice() })
      const former = primary
      primary = target
      target.term = term
      target.fencedTerm = 0
      for (const waiter of former.receivers.splice(0)) waiter()
      for (const member of members) receiveSoon(member)
    }, promoteMs)
    return true
  }

  return {
    members,
    commits,
    promotions,
    add,
    remove: (member) => { members.splice(members.indexOf(member), 1) },
    primary: () => primary,
    isPrimary: (member) => member === primary,
    commit,
    promote,
    /** Lets a replica receive nothing, or receive again. */
    setDeaf: (member, isDeaf) => {
      member.isDeaf = isDeaf
      receiveSoon(member)
    },
    pause: (member, term) => { if (member !== primary && term > member.term) member.fencedTerm = term },
    resume: (member) => {
      member.fencedTerm = 0
      receiveSoon(member)
    },
    positionOf: ({ log, term }) => `${log.at(-1)?.term ?? term}.${log.at(-1)?.number ?? 0}`,
    valueOf: ({ log }, item) => log.findLast(({ writes }) => writes.has(item))?.writes.get(item) ?? `${item}-0`,
    holds: ({ log, term }, position) => {
      const [wantedTerm, wantedNumber] = position.split('.').map(Number)
      const last = log.at(-1) ?? { term, number: 0 }
      return last.term > wantedTerm || (last.term === wantedTerm && last.number >= wantedNumber)
    }
  }
}

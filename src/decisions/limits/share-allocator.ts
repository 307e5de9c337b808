import type { Clock, Milliseconds } from '../../types/clock.js'
import { addTime, milliseconds } from '../../types/clock.js'
import type { IncarnationId, InstanceId, ResourceId } from '../../types/ids.js'
import type { GrantedShare, HeldShare } from '../../types/share.js'
import type { ResourceSize, ShareAllocator, ShareReport } from '../../types/share-allocator.js'
import type { ResourceShares } from './resource-shares.js'
import { fillReserve, newResourceShares, rebalance, recountReserve } from './resource-shares.js'
import type { ShareAccount, ShareClient } from './share-account.js'
import { acknowledgeGrant, acknowledges, adoptShare, currentShare, expireGrants, isEmptyAccount, renewGrant } from './share-account.js'
import type { ShareAllocatorOptions } from './share-allocator-options.js'
import { resolveShareAllocatorOptions } from './share-allocator-options.js'
import { leaderShareLeaseMs } from './share-lease.js'

/** Grants of a later leader have greater numbers: the term stands above this many bits of a counter. */
const grantsPerTerm = 2 ** 32

/** Requests for a heartbeat to one instance, on average and at once; they bound the control traffic while demand moves. */
const asksPerSecond = 10
const maxSavedAsks = 20

/** Time between searches for shares of resources with many members that ran out, in milliseconds. */
const largeScanGapMs = 500

/** Time per member between divisions of a resource with many members, in milliseconds; bounds the leader's work in large fleets. */
const balanceMsPerMember = 0.7

/** While a need is unfilled, the division is repeated without a report, since instances may have become unresponsive. */
const replanAfterMs = 250

/** @returns an allocator that grants nothing until `becomeLeader` */
export function createShareAllocator (options: ShareAllocatorOptions & { clock: Clock }): ShareAllocator {
  const { clock } = options
  const { unresponsiveAfterMs, immediateMembers } = resolveShareAllocatorOptions(options)
  const resources = new Map<ResourceId, ResourceShares>()
  const clients = new Map<InstanceId, ShareClient>()
  const superseded = new Map<IncarnationId, ShareClient>()
  let leaderTerm = 0
  let grantsBegin = Infinity as Milliseconds
  /** When every share of an earlier leader has run out. */
  let earlierSharesEnd = Infinity as Milliseconds
  let expected: ReadonlySet<InstanceId> | null = null
  let grantCounter = 0
  let scannedAt = milliseconds(-Infinity)

  const nextGrant = (): number => leaderTerm * grantsPerTerm + ++grantCounter

  function becomeLeader (term: number): void {
    leaderTerm = term
    grantCounter = 0
    grantsBegin = addTime(clock.now(), leaderShareLeaseMs)
    earlierSharesEnd = grantsBegin
    expected = null
    clients.clear()
    superseded.clear()
    for (const shares of resources.values()) {
      shares.accounts.clear()
      shares.tokens = 0
      // The free rate is unknown, and earns nothing, until the first division of this leader.
      shares.freeRate = 0
      shares.dirty = true
    }
  }

  function setResources (sizes: ReadonlyMap<ResourceId, ResourceSize>): void {
    for (const [resource, size] of sizes) {
      const known = resources.get(resource)
      if (known === undefined) {
        resources.set(resource, newResourceShares(resource, size))
        continue
      }
      fillReserve(known, clock.now())
      known.size = size
      known.dirty = true
      if (clock.now() >= grantsBegin) recountReserve(known, clock.now())
    }
    for (const shares of resources.values()) {
      if (sizes.has(shares.resource)) continue
      shares.size = null
      shares.tokens = 0
      shares.freeRate = 0
      shares.dirty = true
    }
  }

  function expectHolders (instances: ReadonlySet<InstanceId>): void {
    expected = instances
    beginIfAllReported()
  }

  function beginIfAllReported (): void {
    const now = clock.now()
    if (expected === null || now >= grantsBegin) return
    for (const instance of expected) if (clients.get(instance)?.termKnown !== true) return
    grantsBegin = now
    const idleMs = [...expected].reduce((least, instance) => Math.min(least, clients.get(instance)?.idleMs ?? 0), Infinity)
    for (const shares of resources.values()) {
      recountReserve(shares, now)
      if (Number.isFinite(idleMs)) creditIdleTime(shares, idleMs)
      shares.dirty = true
    }
  }

  /** While nobody held a share, nothing was admitted, so the tokens of that time are there. */
  function creditIdleTime (shares: ResourceShares, idleMs: number): void {
    const { size } = shares
    if (size === null || size.whole) return
    shares.tokens = Math.min(size.burst, shares.tokens + size.amount * idleMs / 1000)
  }

  function isResponsive (account: ShareAccount): boolean {
    const { client } = account
    return !client.superseded && client.termKnown && clock.now() - client.reportedAt <= unresponsiveAfterMs
  }

  function supersede (client: ShareClient): void {
    client.superseded = true
    superseded.set(client.incarnation, client)
    for (const resource of client.accounts.keys()) (resources.get(resource) as ResourceShares).dirty = true
  }

  /** Finds the run of the instance that reports; an unknown one takes the place of the run known before. */
  function clientOf (report: ShareReport): ShareClient {
    const known = clients.get(report.instance)
    if (known?.incarnation === report.incarnation) return known
    const earlier = superseded.get(report.incarnation)
    // A late heartbeat of an earlier run may have displaced the present one, which then goes on reporting.
    const returns = earlier !== undefined && (known === undefined || clock.now() - known.reportedAt > unresponsiveAfterMs)
    if (earlier !== undefined && !returns) return earlier
    if (known !== undefined) supersede(known)
    const client = earlier ?? newClient(report)
    client.superseded = false
    superseded.delete(client.incarnation)
    clients.set(client.instance, client)
    return client
  }

  function newClient (report: ShareReport): ShareClient {
    const { instance, incarnation } = report
    return { instance, incarnation, draining: false, termKnown: false, idleMs: 0, superseded: false, reportedAt: clock.now(), demand: new Map(), askedUntil: clock.now(), accounts: new Map(), urgent: false }
  }

  function accountOf (client: ShareClient, shares: ResourceShares): ShareAccount {
    const known = client.accounts.get(shares.resource)
    if (known !== undefined) return known
    const account: ShareAccount = { client, grants: [], askedAt: milliseconds(-Infinity), reducedAt: milliseconds(-Infinity) }
    client.accounts.set(shares.resource, account)
    shares.accounts.add(account)
    return account
  }

  function takeHeld (client: ShareClient, held: HeldShare): void {
    const shares = resources.get(held.resource)
    const account = client.accounts.get(held.resource)
    if (account !== undefined && account.grants.length > 0) {
      if (shares === undefined) return
      if (!acknowledges(account, held)) return
      fillReserve(shares, clock.now())
      const returned = acknowledgeGrant(account, held)
      shares.tokens += returned
      if (clock.now() >= grantsBegin) recountReserve(shares, clock.now())
      shares.dirty = true
      return
    }
    const adoptable = clock.now() < grantsBegin && !client.superseded
    if (!adoptable) return
    // Until the resources are known, an adopted share stands for a resource of unknown size.
    const adopting = shares ?? newResourceShares(held.resource, null)
    resources.set(held.resource, adopting)
    adoptShare(accountOf(client, adopting), held, earlierSharesEnd)
  }

  /** Makes accounts for resources that an instance may hold from now on. */
  function openAccounts (client: ShareClient): void {
    for (const shares of resources.values()) {
      const { size } = shares
      if (size === null || client.accounts.has(shares.resource)) continue
      if (size.eligible !== null && !size.eligible.includes(client.instance)) continue
      accountOf(client, shares)
      shares.dirty = true
    }
  }

  function takeDemand (client: ShareClient, report: ShareReport): void {
    const before = client.demand
    client.demand = new Map(report.demand.map(({ resource, amount }) => [resource, amount]))
    for (const [resource, account] of client.accounts) {
      const demand = client.demand.get(resource) ?? 0
      if (demand === (before.get(resource) ?? 0)) continue
      const shares = resources.get(resource) as ResourceShares
      const lacks = currentShare(account).amount < demand
      if (lacks || shares.unsettled || client.draining) shares.dirty = true
    }
  }

  function report (report: ShareReport): void {
    const now = clock.now()
    const client = clientOf(report)
    const returned = now - client.reportedAt > unresponsiveAfterMs
    client.reportedAt = now
    if (report.leaderTerm === leaderTerm && report.leaderTerm > 0) {
      if (!client.termKnown) client.idleMs = report.idleMs ?? 0
      client.termKnown = true
      for (const held of report.held) takeHeld(client, held)
    }
    if (client.superseded) return
    const drains = report.draining && !client.draining
    client.draining = report.draining
    takeDemand(client, report)
    if (!client.termKnown) return
    beginIfAllReported()
    openAccounts(client)
    for (const resource of client.accounts.keys()) {
      const shares = resources.get(resource) as ResourceShares
      if (returned || drains) shares.dirty = true
      if ((shares.dirty || shares.unsettled) && shares.accounts.size <= immediateMembers) redistribute(shares, client)
    }
  }

  function redistribute (shares: ResourceShares, reporter: ShareClient | null): void {
    const now = clock.now()
    if (now < grantsBegin) return
    rebalance(shares, { now, isResponsive, nextGrant, reporter, raiseAll: shares.accounts.size > immediateMembers })
  }

  function balanceGapMs ({ accounts }: ResourceShares): number {
    return accounts.size > immediateMembers ? accounts.size * balanceMsPerMember : 0
  }

  function renew (instance: InstanceId, incarnation: IncarnationId): GrantedShare[] {
    const client = clients.get(instance)
    if (client === undefined || client.incarnation !== incarnation || !client.termKnown) return []
    const now = clock.now()
    const granted: GrantedShare[] = []
    client.urgent = false
    for (const [resource, account] of client.accounts) {
      const share = renewGrant(account, resource, now)
      if (share !== null) granted.push(share)
    }
    return granted
  }

  function leave (instance: InstanceId, incarnation: IncarnationId): void {
    const client = clients.get(instance)
    if (client === undefined || client.incarnation !== incarnation) return
    const now = clock.now()
    clients.delete(instance)
    for (const [resource, account] of [...client.accounts]) {
      const shares = resources.get(resource) as ResourceShares
      fillReserve(shares, now)
      closeAccount(account, shares)
      if (now >= grantsBegin) recountReserve(shares, now)
      shares.dirty = true
    }
  }

  function takeChanged (): InstanceId[] {
    const now = clock.now()
    const changed: InstanceId[] = []
    for (const client of clients.values()) {
      const mayAsk = client.askedUntil - now <= maxSavedAsks * 1000 / asksPerSecond
      if (!client.urgent || !mayAsk) continue
      client.urgent = false
      client.askedUntil = addTime(milliseconds(Math.max(client.askedUntil, now)), 1000 / asksPerSecond)
      changed.push(client.instance)
    }
    return changed
  }

  function closeAccount (account: ShareAccount, shares: ResourceShares): void {
    shares.accounts.delete(account)
    account.client.accounts.delete(shares.resource)
  }

  /** Ends shares that ran out, and accounts that nothing is granted or owed on any more. */
  function expire (shares: ResourceShares): void {
    const now = clock.now()
    fillReserve(shares, now)
    for (const account of shares.accounts) {
      if (expireGrants(account, now)) shares.dirty = true
      const { client } = account
      const gone = client.superseded || now - client.reportedAt > leaderShareLeaseMs
      const excluded = shares.size === null || (shares.size.eligible !== null && !shares.size.eligible.includes(client.instance))
      if (gone && account.grants.every(({ sent }) => !sent)) closeAccount(account, shares)
      if (excluded && account.grants.length <= 1 && isEmptyAccount(account)) closeAccount(account, shares)
    }
    if (shares.dirty) recountReserve(shares, now)
    if (shares.size === null && shares.accounts.size === 0) resources.delete(shares.resource)
  }

  function forgetClients (): void {
    const now = clock.now()
    for (const known of [clients, superseded] as Map<string, ShareClient>[]) {
      for (const [key, client] of known) {
        const silent = now - client.reportedAt > leaderShareLeaseMs
        if (client.accounts.size === 0 && silent) known.delete(key)
      }
    }
  }

  function tick (): void {
    const now = clock.now()
    if (now < grantsBegin) return
    const scansLarge = now - scannedAt >= largeScanGapMs
    for (const shares of [...resources.values()]) {
      if (scansLarge || shares.accounts.size <= immediateMembers) expire(shares)
      const sinceBalance = now - shares.balancedAt
      const overdue = shares.unsettled && sinceBalance >= replanAfterMs
      if ((shares.dirty || overdue) && sinceBalance >= balanceGapMs(shares)) redistribute(shares, null)
    }
    if (!scansLarge) return
    scannedAt = now
    forgetClients()
  }

  return { becomeLeader, expectHolders, isGranting: () => clock.now() >= grantsBegin, setResources, report, leave, renew, takeChanged, tick }
}

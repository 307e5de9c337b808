import type { Clock } from '../../types/clock.js'
import { addTime, milliseconds } from '../../types/clock.js'
import type { IncarnationId, InstanceId, ResourceId } from '../../types/ids.js'
import type { GrantedShare, HeldShare } from '../../types/share.js'
import type { ResourceSize, ShareAllocator, ShareReport } from '../../types/share-allocator.js'
import type { ExpectedHolders, FormerSharesContext } from './former-shares.js'
import { computeFormerIdleMs, recordAdoption, resetFormerShares, updateUnreported } from './former-shares.js'
import type { ResourceShares } from './resource-shares.js'
import { accrueReserveTokens, createResourceShares, rebalance, updateFreeRate } from './resource-shares.js'
import type { ShareAccount, ShareClient } from './share-account.js'
import { acknowledgeGrant, adoptShare, currentShareOf, expireGrants, isAcknowledgement, isEmptyAccount, renewGrant } from './share-account.js'
import type { ShareAllocatorOptions } from './share-allocator-options.js'
import { resolveShareAllocatorOptions } from './share-allocator-options.js'
import { computeLeaderLease, LEADER_SHARE_LEASE_MS } from './share-lease.js'

/** Grant numbers per term. A number consists of the term and a 32-bit counter, so that a later leader issues greater ones. */
const GRANTS_PER_TERM = 2 ** 32

/** Average rate and largest burst of heartbeat requests to one instance. They bound the control traffic while demand moves between instances. */
const HEARTBEAT_REQUESTS_PER_SECOND = 10
const MAX_SAVED_HEARTBEAT_REQUESTS = 20

/** Time between scans for expired shares of resources with many accounts. */
const LARGE_SCAN_INTERVAL_MS = 500

/** Time per account between divisions of a resource with many accounts. It bounds the leader's work in large fleets. */
const REBALANCE_INTERVAL_PER_ACCOUNT_MS = 0.7

/** Time after which an unsettled division is repeated without a report, because instances may have become unresponsive since. */
const REPLAN_AFTER_MS = 250

/** @returns an allocator that grants nothing until `becomeLeader`, and then only what no instance may hold of a former leader's shares */
export function createShareAllocator (options: ShareAllocatorOptions & { clock: Clock }): ShareAllocator {
  const { clock } = options
  const { unresponsiveAfterMs, maxImmediateHolders, unconfirmedServiceMs } = resolveShareAllocatorOptions(options)
  const resources = new Map<ResourceId, ResourceShares>()
  const clients = new Map<InstanceId, ShareClient>()
  const supersededClients = new Map<IncarnationId, ShareClient>()
  let leaderTerm = 0
  /** Start of this leadership. Shares of a former leader expire as if they had been renewed then. */
  let ledSince = milliseconds(Infinity)
  /** Null while unknown. */
  let expected: ExpectedHolders | null = null
  let grantCounter = 0
  let scannedAt = milliseconds(-Infinity)

  const nextGrantNumber = (): number => leaderTerm * GRANTS_PER_TERM + ++grantCounter

  function becomeLeader (term: number): void {
    leaderTerm = term
    grantCounter = 0
    ledSince = clock.now()
    expected = null
    clients.clear()
    supersededClients.clear()
    for (const shares of resources.values()) {
      shares.accounts.clear()
      shares.tokens = 0
      shares.freeRate = 0
      shares.isDirty = true
      resetFormerShares(shares)
    }
  }

  const isLeader = (): boolean => Number.isFinite(ledSince)
  const formerShares = (): FormerSharesContext => ({ now: clock.now(), ledSince, unconfirmedServiceMs, expected, clients })

  /** Frees what the shares of former leaders can't contain, as instances have reported or leases have ended. */
  function updateFormerShares (shares: ResourceShares): void {
    if (isLeader() && updateUnreported(shares, formerShares())) creditIdleTime(shares)
  }

  function setResources (sizes: ReadonlyMap<ResourceId, ResourceSize>): void {
    for (const [resource, size] of sizes) {
      const known = resources.get(resource)
      if (known === undefined) {
        const created = createResourceShares(resource, size)
        resources.set(resource, created)
        updateFormerShares(created)
        continue
      }
      accrueReserveTokens(known, clock.now())
      known.size = size
      known.isDirty = true
      updateFreeRate(known, clock.now())
      updateFormerShares(known)
    }
    for (const shares of resources.values()) {
      if (sizes.has(shares.resource)) continue
      shares.size = null
      shares.tokens = 0
      shares.freeRate = 0
      shares.isDirty = true
    }
  }

  function expectHolders (instances: ReadonlySet<InstanceId>, holdersOf: ExpectedHolders['holdersOf'] = () => null): void {
    expected = { instances, holdersOf }
    for (const shares of resources.values()) updateFormerShares(shares)
  }

  /** Credits the tokens that accrued while no instance held a share, since none of them was used then. */
  function creditIdleTime (shares: ResourceShares): void {
    const { size } = shares
    if (size === null || size.whole) return
    const idleMs = computeFormerIdleMs(shares.resource, formerShares())
    shares.tokens = Math.min(size.burst, shares.tokens + size.amount * idleMs / 1000)
  }

  function isResponsive (account: ShareAccount): boolean {
    const { client } = account
    return !client.isSuperseded && client.hasReportedInTerm && clock.now() - client.reportedAt <= unresponsiveAfterMs
  }

  function supersede (client: ShareClient): void {
    client.isSuperseded = true
    client.hasReportedSinceSuperseded = false
    supersededClients.set(client.incarnation, client)
    for (const resource of client.accounts.keys()) (resources.get(resource) as ResourceShares).isDirty = true
  }

  /** Finds the reporting incarnation of an instance. A new incarnation supersedes the one known before. */
  function findOrCreateClient (report: ShareReport): ShareClient {
    const known = clients.get(report.instance)
    if (known?.incarnation === report.incarnation) return known
    const former = supersededClients.get(report.incarnation)
    // A late heartbeat of a former incarnation may have superseded the running one. The running one takes over again, since it keeps reporting.
    const isTakingOver = former !== undefined && (known === undefined || clock.now() - known.reportedAt > unresponsiveAfterMs)
    if (former !== undefined && !isTakingOver) return former
    if (known !== undefined) supersede(known)
    const client = former ?? createClient(report, known)
    client.isSuperseded = false
    supersededClients.delete(client.incarnation)
    clients.set(client.instance, client)
    return client
  }

  function createClient (report: ShareReport, known: ShareClient | undefined): ShareClient {
    const { instance, incarnation, address = null } = report
    const predecessor = address !== null && known?.address === address ? known : null
    return { instance, incarnation, address, predecessor, draining: false, hasReportedInTerm: false, idleMs: 0, isSuperseded: false, hasReportedSinceSuperseded: false, reportedAt: clock.now(), demand: new Map(), requestBudgetUntil: clock.now(), accounts: new Map(), shouldRequestHeartbeat: false }
  }

  /**
   * Frees the shares of the incarnation before, which has ended: the reporter has answered a message that was sent after the last report of
   * that incarnation arrived, and a process that starts on an address has no living predecessor there.
   */
  function freePredecessor (client: ShareClient): void {
    const { predecessor } = client
    client.predecessor = null
    if (predecessor === null || !predecessor.isSuperseded || predecessor.hasReportedSinceSuperseded) return
    freeShares(predecessor)
  }

  function freeShares (client: ShareClient): void {
    const now = clock.now()
    for (const [resource, account] of [...client.accounts]) {
      const shares = resources.get(resource) as ResourceShares
      accrueReserveTokens(shares, now)
      closeAccount(account, shares)
      updateFreeRate(shares, now)
      shares.isDirty = true
    }
  }

  function findOrCreateAccount (client: ShareClient, shares: ResourceShares): ShareAccount {
    const known = client.accounts.get(shares.resource)
    if (known !== undefined) return known
    const account: ShareAccount = { client, grants: [], heartbeatRequestedAt: milliseconds(-Infinity), reducedAt: milliseconds(-Infinity) }
    client.accounts.set(shares.resource, account)
    shares.accounts.add(account)
    return account
  }

  function handleHeldShare (client: ShareClient, held: HeldShare, isFirstReport: boolean): void {
    const shares = resources.get(held.resource)
    const account = client.accounts.get(held.resource)
    if (account !== undefined && account.grants.length > 0) {
      if (shares === undefined) return
      if (!isAcknowledgement(account, held)) return
      accrueReserveTokens(shares, clock.now())
      const returnedTokens = acknowledgeGrant(account, held)
      shares.tokens += returnedTokens
      updateFreeRate(shares, clock.now())
      shares.isDirty = true
      return
    }
    // A later report may repeat a share that the instance has returned since, or one that this leader granted.
    if (!isFirstReport || client.isSuperseded || shares?.areFormerSharesKnown === true) return
    // The leader may receive this report before it knows its resources; the size of the resource stays unknown until then.
    const adopted = shares ?? createResourceShares(held.resource, null)
    resources.set(held.resource, adopted)
    recordAdoption(adopted, held, formerShares())
    adoptShare(findOrCreateAccount(client, adopted), held, computeLeaderLease(held.resource, ledSince, unconfirmedServiceMs))
  }

  /** Opens accounts for the resources that an instance has become eligible for. */
  function openAccounts (client: ShareClient): void {
    for (const shares of resources.values()) {
      const { size } = shares
      if (size === null || client.accounts.has(shares.resource)) continue
      if (size.eligible !== null && !size.eligible.includes(client.instance)) continue
      findOrCreateAccount(client, shares)
      shares.isDirty = true
    }
  }

  function recordDemand (client: ShareClient, report: ShareReport): void {
    const before = client.demand
    client.demand = new Map(report.demand.map(({ resource, amount }) => [resource, amount]))
    for (const [resource, account] of client.accounts) {
      const demand = client.demand.get(resource) ?? 0
      if (demand === (before.get(resource) ?? 0)) continue
      const shares = resources.get(resource) as ResourceShares
      const isBelowDemand = currentShareOf(account).amount < demand
      if (isBelowDemand || shares.isUnsettled || client.draining) shares.isDirty = true
    }
  }

  function report (report: ShareReport): void {
    const now = clock.now()
    const client = findOrCreateClient(report)
    client.hasReportedSinceSuperseded ||= client.isSuperseded
    const hasReturned = now - client.reportedAt > unresponsiveAfterMs
    client.reportedAt = now
    if (report.leaderTerm === leaderTerm && report.leaderTerm > 0) {
      const isFirstReport = !client.hasReportedInTerm
      if (isFirstReport) client.idleMs = report.idleMs ?? 0
      client.hasReportedInTerm = true
      for (const held of report.held) handleHeldShare(client, held, isFirstReport)
      if (isFirstReport) freePredecessor(client)
    }
    if (client.isSuperseded) return
    const startsDraining = report.draining && !client.draining
    client.draining = report.draining
    recordDemand(client, report)
    if (!client.hasReportedInTerm) return
    for (const shares of resources.values()) updateFormerShares(shares)
    openAccounts(client)
    for (const resource of client.accounts.keys()) {
      const shares = resources.get(resource) as ResourceShares
      if (hasReturned || startsDraining) shares.isDirty = true
      if ((shares.isDirty || shares.isUnsettled) && shares.accounts.size <= maxImmediateHolders) redistribute(shares, client)
    }
  }

  function redistribute (shares: ResourceShares, reporter: ShareClient | null): void {
    if (!isLeader()) return
    const now = clock.now()
    rebalance(shares, { now, isResponsive, nextGrantNumber, reporter, shouldRaiseAll: shares.accounts.size > maxImmediateHolders })
  }

  function computeRebalanceIntervalMs ({ accounts }: ResourceShares): number {
    return accounts.size > maxImmediateHolders ? accounts.size * REBALANCE_INTERVAL_PER_ACCOUNT_MS : 0
  }

  function renew (instance: InstanceId, incarnation: IncarnationId): GrantedShare[] {
    const client = clients.get(instance)
    if (client === undefined || client.incarnation !== incarnation || !client.hasReportedInTerm) return []
    const now = clock.now()
    const granted: GrantedShare[] = []
    client.shouldRequestHeartbeat = false
    for (const [resource, account] of client.accounts) {
      const share = renewGrant(account, resource, computeLeaderLease(resource, now, unconfirmedServiceMs), nextGrantNumber)
      if (share !== null) granted.push(share)
    }
    return granted
  }

  function leave (instance: InstanceId, incarnation: IncarnationId): void {
    const client = clients.get(instance)
    if (client === undefined || client.incarnation !== incarnation) return
    clients.delete(instance)
    freeShares(client)
  }

  function mayHold (resource: ResourceId, instance: InstanceId): boolean {
    const shares = resources.get(resource)
    if (shares === undefined || (!shares.areFormerSharesKnown && clients.get(instance)?.hasReportedInTerm !== true)) return true
    return [...shares.accounts].some(({ client, grants }) => client.instance === instance && grants.length > 0)
  }

  function drainHeartbeatRequests (): InstanceId[] {
    const now = clock.now()
    const requested: InstanceId[] = []
    for (const client of clients.values()) {
      const canRequest = client.requestBudgetUntil - now <= MAX_SAVED_HEARTBEAT_REQUESTS * 1000 / HEARTBEAT_REQUESTS_PER_SECOND
      if (!client.shouldRequestHeartbeat || !canRequest) continue
      client.shouldRequestHeartbeat = false
      client.requestBudgetUntil = addTime(milliseconds(Math.max(client.requestBudgetUntil, now)), 1000 / HEARTBEAT_REQUESTS_PER_SECOND)
      requested.push(client.instance)
    }
    return requested
  }

  function closeAccount (account: ShareAccount, shares: ResourceShares): void {
    shares.accounts.delete(account)
    account.client.accounts.delete(shares.resource)
  }

  /** Drops expired grants. Closes accounts without a share whose instance is unresponsive, superseded or no longer eligible. */
  function expire (shares: ResourceShares): void {
    const now = clock.now()
    accrueReserveTokens(shares, now)
    for (const account of shares.accounts) {
      if (expireGrants(account, now)) shares.isDirty = true
      const { client } = account
      const isInactive = client.isSuperseded || now - client.reportedAt > LEADER_SHARE_LEASE_MS
      const isExcluded = shares.size === null || (shares.size.eligible !== null && !shares.size.eligible.includes(client.instance))
      if (isInactive && account.grants.every(({ sent }) => !sent)) closeAccount(account, shares)
      if (isExcluded && account.grants.length <= 1 && isEmptyAccount(account)) closeAccount(account, shares)
    }
    if (shares.isDirty) updateFreeRate(shares, now)
    if (shares.size === null && shares.accounts.size === 0) resources.delete(shares.resource)
  }

  function removeIdleClients (): void {
    const now = clock.now()
    for (const known of [clients, supersededClients] as Map<string, ShareClient>[]) {
      for (const [key, client] of known) {
        const isUnresponsive = now - client.reportedAt > LEADER_SHARE_LEASE_MS
        if (client.accounts.size === 0 && isUnresponsive) known.delete(key)
      }
    }
  }

  function tick (): void {
    const now = clock.now()
    const shouldScanLarge = now - scannedAt >= LARGE_SCAN_INTERVAL_MS
    for (const shares of [...resources.values()]) {
      updateFormerShares(shares)
      if (shouldScanLarge || shares.accounts.size <= maxImmediateHolders) expire(shares)
      const sinceBalance = now - shares.balancedAt
      const isOverdue = shares.isUnsettled && sinceBalance >= REPLAN_AFTER_MS
      if ((shares.isDirty || isOverdue) && sinceBalance >= computeRebalanceIntervalMs(shares)) redistribute(shares, null)
    }
    if (!shouldScanLarge) return
    scannedAt = now
    removeIdleClients()
  }

  return { becomeLeader, expectHolders, mayHold, areFormerSharesKnown: () => [...resources.values()].every(({ areFormerSharesKnown }) => areFormerSharesKnown), setResources, report, leave, renew, drainHeartbeatRequests, tick }
}

import fc from 'fast-check'
import t from 'tap'
import { createShareAllocator } from '../../../src/decisions/limits/share-allocator.js'
import { divideBurst, divideRate } from '../../../src/decisions/limits/rate-division.js'
import { divideWhole } from '../../../src/decisions/limits/whole-division.js'
import { milliseconds } from '../../../src/types/clock.js'
import { incarnationId, instanceId, resourceId } from '../../../src/types/ids.js'
import type { GrantedShare, HeldShare } from '../../../src/types/share.js'
import type { ResourceSize } from '../../../src/types/share-allocator.js'

const seed = 7005
const slots = resourceId('slots', 'database')
const rate = resourceId('rate', 'workspace')
const slotSize: ResourceSize = { amount: 5, burst: 0, whole: true, eligible: null }
const rateSize: ResourceSize = { amount: 90, burst: 30, whole: false, eligible: null }
const leaseMs = 4040

interface Member { name: string, incarnation: string, held: HeldShare[], leaderTerm: number }

function createLeader (sizes = new Map([[slots, slotSize], [rate, rateSize]])) {
  const clock = { time: 0, now: () => milliseconds(clock.time) }
  const allocator = createShareAllocator({ clock })
  allocator.setResources(sizes)
  allocator.becomeLeader(2)
  return { clock, allocator, sizes }
}

type Leader = ReturnType<typeof createLeader>

const newMember = (name: string, incarnation = `${name}-1`): Member => ({ name, incarnation, held: [], leaderTerm: 2 })

function report ({ allocator }: Leader, member: Member, demand: number | null = null, draining = false): void {
  const wanted = demand === null ? [] : [{ resource: slots, amount: demand }, { resource: rate, amount: demand }]
  allocator.report({ instance: instanceId(member.name), incarnation: incarnationId(member.incarnation), draining, leaderTerm: member.leaderTerm, held: member.held, demand: wanted })
}

function renew ({ allocator }: Leader, member: Member): GrantedShare[] {
  return allocator.renew(instanceId(member.name), incarnationId(member.incarnation))
}

/** Reports, takes the answer and holds what it grants; the next report acknowledges it. */
function beat (leader: Leader, member: Member, demand: number | null = null, draining = false): void {
  report(leader, member, demand, draining)
  member.held = renew(leader, member).map(({ resource, amount, burst, grant }) => ({ resource, amount, burst, grant, returnedTokens: 0 }))
  leader.allocator.tick()
}

const heldOf = (member: Member, resource = slots): number => member.held.find((held) => held.resource === resource)?.amount ?? 0

/** Beats until shares have settled. */
function settle (leader: Leader, members: readonly [Member, number][]): void {
  for (let round = 0; round < 6; round++) {
    leader.clock.time += 100
    for (const [member, demand] of members) beat(leader, member, demand)
  }
}

function startLeader (...members: Member[]): Leader {
  const leader = createLeader()
  leader.clock.time = leaseMs
  settle(leader, members.map((member) => [member, 0]))
  return leader
}

t.test('whole units are divided without waste and fairly', async (t) => {
  const cases = [
    { name: 'equal demand', units: 5, demands: [5, 5, 5], parts: [2, 2, 1] },
    { name: 'no demand', units: 5, demands: [0, 0, 0], parts: [2, 2, 1] },
    { name: 'one instance wants all', units: 5, demands: [0, 9, 0], parts: [0, 5, 0] },
    { name: 'a small demand beside a large one is not starved', units: 5, demands: [100, 1, 1], parts: [3, 1, 1] },
    { name: 'demand by proportion', units: 30, demands: [40, 20, 0], parts: [19, 10, 1] },
    { name: 'left over units are spread', units: 5, demands: [3, 0, 0], parts: [3, 1, 1] },
    { name: 'fewer units than instances', units: 1, demands: [1, 2, 1], parts: [0, 1, 0] }
  ]
  for (const { name, units, demands, parts } of cases) {
    t.same(divideWhole(units, demands.map((demand) => ({ demand, canHoldSpare: true })), demands.map(() => 0)), parts, name)
  }
})

t.test('ties leave whole units where they are, so that equal demand causes no moves', async (t) => {
  const members = [5, 5, 5].map((demand) => ({ demand, canHoldSpare: true }))
  t.same(divideWhole(5, members, [1, 2, 2]), [1, 2, 2])
})

t.test('divisions stay within the resource and give nobody less for wanting more', async (t) => {
  const members = fc.array(fc.record({ demand: fc.integer({ min: 0, max: 50 }), canHoldSpare: fc.boolean() }), { minLength: 1, maxLength: 9 })
  t.doesNotThrow(() => fc.assert(fc.property(members, fc.integer({ min: 1, max: 60 }), (divided, size) => {
    const sum = (values: number[]) => values.reduce((total, value) => total + value, 0)
    const rates = divideRate(size, divided)
    const bursts = divideBurst(size, divided, rates)
    const whole = divideWhole(size, divided, divided.map(() => 0))
    const ordered = divided.every((left, i) => divided.every((right, j) =>
      left.canHoldSpare !== right.canHoldSpare || left.demand < right.demand || (rates[i] as number) >= (rates[j] as number) - 1e-9))
    const usable = bursts.every((burst) => burst === 0 || burst >= 1)
    const all = divided.some(({ canHoldSpare }) => canHoldSpare) || sum(divided.map(({ demand }) => demand)) >= size
    return sum(rates) <= size + 1e-9 && sum(bursts) <= size + 1e-9 && ordered && usable && (all ? sum(whole) === size : sum(whole) <= size)
  }), { seed }))
})

t.test('a reduction is passed on only after its acknowledgement', async (t) => {
  const giver = newMember('giver')
  const taker = newMember('taker')
  const leader = startLeader(giver, taker)
  settle(leader, [[giver, 5], [taker, 0]])
  t.equal(heldOf(giver), 5)
  leader.clock.time += 100
  beat(leader, taker, 3)
  t.equal(heldOf(taker), 0)
  t.same(leader.allocator.takeChanged(), [instanceId('giver')], 'the giver is asked for a heartbeat at once')
  leader.clock.time += 60
  report(leader, giver, 2)
  const [reduced] = renew(leader, giver).filter(({ resource }) => resource === slots)
  t.equal(reduced?.amount, 2)
  report(leader, giver, 2)
  beat(leader, taker, 3)
  t.equal(heldOf(taker), 0, 'the old grant was reported again, so that the reduction may not have arrived')
  giver.held = [{ resource: slots, amount: 2, burst: 0, grant: reduced?.grant ?? 0, returnedTokens: 0 }]
  report(leader, giver, 2)
  beat(leader, taker, 3)
  t.equal(heldOf(taker), 3)
})

t.test('the share of a lost instance is passed on only after its lease', async (t) => {
  const lost = newMember('lost')
  const taker = newMember('taker')
  const leader = startLeader(lost, taker)
  settle(leader, [[lost, 5], [taker, 0]])
  const renewedAt = leader.clock.time
  const cases = [{ atMs: 100, share: 0 }, { atMs: leaseMs - 1, share: 0 }, { atMs: leaseMs + 1, share: 5 }]
  for (const { atMs, share } of cases) {
    leader.clock.time = renewedAt + atMs
    leader.allocator.tick()
    beat(leader, taker, 5)
    t.equal(heldOf(taker), share, `${atMs} ms after the last renewal`)
  }
})

t.test('the share of an instance that left is free at once, and a late word of that run gets nothing of it', async (t) => {
  const [a, b] = [newMember('a'), newMember('b')]
  const leader = startLeader(a, b)
  settle(leader, [[a, 90], [b, 90]])
  t.ok(heldOf(a, rate) > 30)
  leader.allocator.leave(instanceId('a'), incarnationId('b-1'))
  settle(leader, [[b, 90]])
  t.ok(heldOf(b, rate) < 60, 'another run can not give the share away')
  leader.allocator.leave(instanceId('a'), incarnationId('a-1'))
  settle(leader, [[b, 90]])
  t.ok(heldOf(b, rate) > 85)
  t.equal(heldOf(b), 5)
})

t.test('a restarted instance holds nothing and does not inherit the share of its former run', async (t) => {
  const former = newMember('a', 'a-1')
  const leader = startLeader(former)
  settle(leader, [[former, 5]])
  const restarted = newMember('a', 'a-2')
  for (let round = 0; round < 2; round++) {
    leader.clock.time += 100
    beat(leader, restarted, 5)
    t.equal(heldOf(restarted), 0)
  }
  t.same(renew(leader, former), [], 'the former run is not renewed')
  leader.clock.time += leaseMs
  leader.allocator.tick()
  beat(leader, restarted, 5)
  t.equal(heldOf(restarted), 5)
})

t.test('a new leader adopts only what is reported under its term, and grants nothing for one lease', async (t) => {
  const held = { resource: slots, amount: 3, burst: 0, grant: 7, returnedTokens: 0 }
  const leader = createLeader()
  const reattached = { ...newMember('reattached'), held: [held] }
  const unheard = { ...newMember('unheard'), held: [held], leaderTerm: 1 }
  const idle = newMember('idle')
  leader.clock.time = 1000
  report(leader, reattached)
  report(leader, unheard)
  beat(leader, idle, 5)
  leader.allocator.tick()
  t.same(renew(leader, reattached).map(({ amount, grant }) => ({ amount, grant })), [{ amount: 3, grant: 7 }])
  t.same(renew(leader, unheard), [], 'a grant of the former leader may still reach it')
  t.equal(heldOf(idle), 0)
  leader.clock.time = leaseMs
  leader.allocator.tick()
  beat(leader, idle, 5)
  t.equal(heldOf(idle), 2, 'what was adopted and renewed is not given twice')
  report(leader, { ...unheard, leaderTerm: 2 })
  t.same(renew(leader, unheard).filter(({ amount }) => amount > 0), [], 'a report after the wait is not adopted')
})

t.test('an instance that joins gets a part before it has demand, so that it can serve its first request at once', async (t) => {
  const busy = newMember('busy')
  const joining = newMember('joining')
  const leader = startLeader(busy)
  settle(leader, [[busy, 80]])
  settle(leader, [[joining, 0], [busy, 80]])
  const burst = joining.held.find(({ resource }) => resource === rate)?.burst ?? 0
  t.ok(burst >= 1, `a burst of ${burst}`)
  t.ok(heldOf(joining, rate) > 0)
})

t.test('a draining instance gives back, and an instance that is no longer eligible gives up everything', async (t) => {
  const leaving = newMember('leaving')
  const staying = newMember('staying')
  const leader = startLeader(leaving, staying)
  t.ok(heldOf(leaving) > 0)
  for (let round = 0; round < 4; round++) {
    leader.clock.time += 100
    beat(leader, leaving, 0, true)
    beat(leader, staying, 0)
  }
  t.equal(heldOf(leaving), 0)
  t.equal(heldOf(leaving, rate), 0)
  t.equal(heldOf(staying), 5)
  leader.allocator.setResources(new Map([[slots, { ...slotSize, eligible: [instanceId('other')] }], [rate, rateSize]]))
  settle(leader, [[staying, 5]])
  t.equal(heldOf(staying), 0)
  t.ok(heldOf(staying, rate) > 0)
})

t.test('a lowered rate takes from instances that use it, and a removed resource takes all', async (t) => {
  const members = [newMember('a'), newMember('b')] as const
  const leader = startLeader(...members)
  const all = (): number => members.reduce((sum, member) => sum + heldOf(member, rate), 0)
  settle(leader, [[members[0], 50], [members[1], 50]])
  t.ok(all() > 80 && all() <= 90)
  leader.allocator.setResources(new Map([[slots, slotSize], [rate, { ...rateSize, amount: 10, burst: 5 }]]))
  settle(leader, [[members[0], 50], [members[1], 50]])
  t.ok(all() > 8 && all() <= 10)
  leader.allocator.setResources(new Map([[slots, slotSize]]))
  settle(leader, [[members[0], 50], [members[1], 50]])
  t.notOk(members.some(({ held }) => held.some(({ resource }) => resource === rate)))
})

t.test('tokens that were given back are passed on once, and none are made up', async (t) => {
  for (const returned of [13, 2]) {
    const giver = newMember('giver')
    const taker = newMember('taker')
    const leader = startLeader(giver, taker)
    settle(leader, [[giver, 80], [taker, 0]])
    leader.clock.time += 100
    beat(leader, taker, 80)
    beat(leader, giver, 0)
    giver.held = giver.held.map((held) => held.resource === rate ? { ...held, returnedTokens: returned } : held)
    let passed = 0
    let lastGrant = 0
    for (let round = 0; round < 4; round++) {
      report(leader, giver, 0)
      report(leader, giver, 0)
      report(leader, taker, 80)
      const granted = renew(leader, taker).find(({ resource }) => resource === rate) as GrantedShare
      if (granted.grant > lastGrant) passed += granted.tokens
      lastGrant = granted.grant
      taker.held = [granted].map(({ resource, amount, burst, grant }) => ({ resource, amount, burst, grant, returnedTokens: 0 }))
    }
    const reserve = rateSize.burst * 0.1
    t.ok(passed >= returned * 0.8, `${passed} of ${returned} tokens were passed on`)
    t.ok(passed <= returned + reserve, `${passed} tokens out of ${returned} and the reserve of ${reserve}`)
  }
})

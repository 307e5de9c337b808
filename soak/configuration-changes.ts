import type { Random } from '../src/utils/create-random.js'

/** Route of a configuration: the database name that callers give, and the service that serves it. */
export interface ServedRoute {
  database: string
  service: string
}

interface HeldKey {
  /** Workspace that had the key at the start of the run. */
  owner: string
  holder: string
  /** When a version was first sent that gives the holder the key, in milliseconds since the Unix epoch. */
  from: number
  /** When a version was acknowledged that takes the key from the holder; infinite before. */
  until: number
}

export interface ConfigurationChangesOptions {
  random: Random
  routes: readonly ServedRoute[]
  services: readonly string[]
  /** Names of the workspaces that may exchange their keys. */
  workspaces: readonly string[]
  /** Called with the service that a route is about to leave. */
  onMove: (service: string) => void
}

/** Random changes of routes, keys and size from one version of the configuration to the next. */
export interface ConfigurationChanges {
  /** Draws the changes of the next version. @returns their description; empty when nothing changes */
  draw: () => string
  /** @returns pause before the next version in milliseconds; some versions come in quick succession */
  pauseMs: () => number
  /** Records that the last drawn version was acknowledged, so that it is in force some seconds later. */
  acknowledge: () => void
  /** @returns service of a route in the last drawn version */
  serviceOf: (database: string) => string
  /** @returns workspace that holds the key of `owner` in the last drawn version */
  holderOf: (owner: string) => string
  /** @returns number of further routes in the last drawn version, which no caller uses */
  unusedRoutes: () => number
  /** @returns whether `workspace` may have held the key of `owner` at some time from `from` to `until`, in milliseconds since the Unix epoch */
  mayHaveHeld: (workspace: string, owner: string, from: number, until: number) => boolean
}

/** Shares of the versions that move a route, exchange two keys, and change the size. */
const SHARES = { move: 0.6, exchange: 0.15, grow: 0.1, shrink: 0.4 }
/** Share of the moves that concern the route that moved last. With two services, such a move leads back. */
const RETURN_SHARE = 0.7
/** Share of the versions that follow the one before quickly, and the pauses in milliseconds. */
const QUICK_SHARE = 0.5
const PAUSE_MS = { quick: 100, usual: 1500 }
const UNUSED_ROUTES = { least: 1000, most: 4000 }

/** Creates the changes. The first version has the given routes, and each workspace holds its own key. */
export function createConfigurationChanges ({ random, routes, services, workspaces, onMove }: ConfigurationChangesOptions): ConfigurationChanges {
  const serviceByDatabase = new Map(routes.map(({ database, service }) => [database, service]))
  const holderByOwner = new Map(workspaces.map((name) => [name, name]))
  const heldKeys: HeldKey[] = workspaces.map((name) => ({ owner: name, holder: name, from: 0, until: Infinity }))
  let unusedRoutes = 0
  let lastMoved = 0

  const pickIndex = (length: number): number => Math.floor(random() * length)

  function moveRoute (): string {
    if (random() >= RETURN_SHARE) lastMoved = pickIndex(routes.length)
    const { database } = routes[lastMoved] as ServedRoute
    const others = services.filter((service) => service !== serviceByDatabase.get(database))
    const service = others[pickIndex(others.length)] as string
    onMove(serviceByDatabase.get(database) as string)
    serviceByDatabase.set(database, service)
    return `${database} moves to ${service}`
  }

  function exchangeKeys (): string {
    const first = pickIndex(workspaces.length)
    const second = (first + 1 + pickIndex(workspaces.length - 1)) % workspaces.length
    const [left, right] = [workspaces[first] as string, workspaces[second] as string]
    const [leftHolder, rightHolder] = [holderOf(left), holderOf(right)]
    holderByOwner.set(left, rightHolder)
    holderByOwner.set(right, leftHolder)
    const from = Date.now()
    heldKeys.push({ owner: left, holder: rightHolder, from, until: Infinity }, { owner: right, holder: leftHolder, from, until: Infinity })
    return `${leftHolder} and ${rightHolder} exchange a key`
  }

  function changeSize (): string {
    if (unusedRoutes > 0 && random() < SHARES.shrink) unusedRoutes = 0
    else if (unusedRoutes === 0 && random() < SHARES.grow) unusedRoutes = UNUSED_ROUTES.least + pickIndex(UNUSED_ROUTES.most - UNUSED_ROUTES.least)
    else return ''
    return `${unusedRoutes} further routes`
  }

  function holderOf (owner: string): string {
    return holderByOwner.get(owner) ?? owner
  }

  return {
    draw: () => [random() < SHARES.move ? moveRoute() : '', random() < SHARES.exchange ? exchangeKeys() : '', changeSize()].filter((change) => change !== '').join(', '),
    pauseMs: () => random() < QUICK_SHARE ? PAUSE_MS.quick : PAUSE_MS.usual,
    acknowledge: () => {
      for (const held of heldKeys) if (held.until === Infinity && held.holder !== holderOf(held.owner)) held.until = Date.now()
    },
    serviceOf: (database) => serviceByDatabase.get(database) as string,
    holderOf,
    unusedRoutes: () => unusedRoutes,
    mayHaveHeld: (workspace, owner, from, until) => heldKeys.some((held) => held.owner === owner && held.holder === workspace && held.from <= until && held.until >= from)
  }
}

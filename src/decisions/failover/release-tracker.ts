import type { RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { Directory, DirectoryGroup, DirectoryVersion } from '../../types/directory.js'
import { holdsDirectory } from '../../types/directory-version.js'
import type { IncarnationId, InstanceId } from '../../types/ids.js'
import type { GroupView } from './group-view.js'

/** Knows which instances may still acknowledge writes of one group under the term that was last in service. */
export interface ReleaseTracker {
  /** Takes the group from a directory that was published. */
  published: (group: DirectoryGroup, directory: Directory, instances: ReadonlyMap<InstanceId, RegisteredInstance>) => void
  /**
   * @param term - the term to be released
   * @param stopVersion - directory that told the holders to stop
   * @returns whether every holder under `term` reported its release with that directory or a newer one, or is lost, so that its
   * lease has run out
   */
  allReleased: (term: number, stopVersion: DirectoryVersion, view: GroupView) => boolean
}

interface TrackedHolder {
  incarnation: IncarnationId
  /** First directory that no longer names it. */
  removedIn: DirectoryVersion | null
  released: boolean
}

/** Creates the tracker of one group for one leadership. */
export function createReleaseTracker (): ReleaseTracker {
  const tracked = new Map<InstanceId, TrackedHolder>()
  let trackedTerm = 0

  function published (group: DirectoryGroup, { version }: Directory, instances: ReadonlyMap<InstanceId, RegisteredInstance>): void {
    if (group.phase === 'electing') return
    if (group.term !== trackedTerm) tracked.clear()
    trackedTerm = group.term
    for (const [instance, holder] of tracked) {
      // Back in service, holders take writes again; releases of a switchover that was given up are void.
      if (group.phase === 'serving') holder.released = false
      if (!group.holders.includes(instance)) holder.removedIn ??= version
    }
    for (const instance of group.holders) track(instance, instances.get(instance)?.incarnation)
  }

  function track (instance: InstanceId, incarnation: IncarnationId | undefined): void {
    if (incarnation === undefined) return
    const known = tracked.get(instance)
    if (known?.incarnation === incarnation) known.removedIn = null
    else tracked.set(instance, { incarnation, removedIn: null, released: false })
  }

  function hasReleased (holder: TrackedHolder, instance: RegisteredInstance, term: number, stopVersion: DirectoryVersion, view: GroupView): boolean {
    if (holder.released || instance.incarnation !== holder.incarnation) return true
    if (hasLeft(holder, instance, view)) return true
    const reported = instance.releasedTerms.some((entry) => entry.group === view.group && entry.term >= term)
    holder.released = reported && holdsDirectory(instance.directoryVersion, stopVersion)
    return holder.released
  }

  function allReleased (term: number, stopVersion: DirectoryVersion, view: GroupView): boolean {
    for (const [name, holder] of tracked) {
      const instance = view.instances.get(name)
      // The registry drops an instance only after its lease has run out.
      if (instance !== undefined && !hasReleased(holder, instance, term, stopVersion, view)) return false
    }
    return true
  }

  return { published, allReleased }
}

/** A former holder may finish requests until it gives back its slots and connections; it need not report a release then. */
function hasLeft (holder: TrackedHolder, instance: RegisteredInstance, view: GroupView): boolean {
  if (holder.removedIn === null || !holdsDirectory(instance.directoryVersion, holder.removedIn)) return false
  return !view.members.some(({ database }) => instance.heldDatabases.has(database))
}

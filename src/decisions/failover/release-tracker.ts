import type { RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { Directory, DirectoryGroup, DirectoryVersion } from '../../types/directory.js'
import { hasDirectoryVersion } from '../../types/directory-version.js'
import type { IncarnationId, InstanceId } from '../../types/ids.js'
import type { GroupView } from './group-view.js'

/** Tracks which connection holders may still acknowledge writes of one group under the term that was last in service. */
export interface ReleaseTracker {
  /** Records the group as a published directory describes it. Directories of an ongoing election change nothing. */
  recordDirectory: (group: DirectoryGroup, directory: Directory, instances: ReadonlyMap<InstanceId, RegisteredInstance>) => void
  /**
   * @param term - the term that must be released
   * @param stopVersion - first directory that told the connection holders to stop
   * @returns whether no tracked holder can acknowledge a write under `term` any more: each one reported the release with that
   * directory or a newer one, returned its shares after it was removed, restarted, or was lost, so that its lease has expired
   */
  areAllReleased: (term: number, stopVersion: DirectoryVersion, view: GroupView) => boolean
}

interface TrackedHolder {
  incarnation: IncarnationId
  /** First directory that no longer names the instance as a holder of the group. */
  removedIn: DirectoryVersion | null
  isReleased: boolean
}

/** Creates the tracker of one group for one leadership. */
export function createReleaseTracker (): ReleaseTracker {
  const trackedHolders = new Map<InstanceId, TrackedHolder>()
  let trackedTerm = 0

  function recordDirectory (group: DirectoryGroup, { version }: Directory, instances: ReadonlyMap<InstanceId, RegisteredInstance>): void {
    if (group.phase === 'electing') return
    if (group.term !== trackedTerm) trackedHolders.clear()
    trackedTerm = group.term
    for (const [instance, holder] of trackedHolders) {
      // A group back in service accepts writes again, so releases reported during an abandoned switchover no longer hold.
      if (group.phase === 'serving') holder.isReleased = false
      if (!group.holders.includes(instance)) holder.removedIn ??= version
    }
    for (const instance of group.holders) trackHolder(instance, instances.get(instance)?.incarnation)
  }

  function trackHolder (instance: InstanceId, incarnation: IncarnationId | undefined): void {
    if (incarnation === undefined) return
    const known = trackedHolders.get(instance)
    if (known?.incarnation === incarnation) known.removedIn = null
    else trackedHolders.set(instance, { incarnation, removedIn: null, isReleased: false })
  }

  function hasReleased (holder: TrackedHolder, instance: RegisteredInstance, term: number, stopVersion: DirectoryVersion, view: GroupView): boolean {
    if (holder.isReleased || instance.incarnation !== holder.incarnation) return true
    if (hasReturnedShares(holder, instance, view)) return true
    const reported = instance.releasedTerms.some((entry) => entry.group === view.group && entry.term >= term)
    holder.isReleased = reported && hasDirectoryVersion(instance.directoryVersion, stopVersion)
    return holder.isReleased
  }

  function areAllReleased (term: number, stopVersion: DirectoryVersion, view: GroupView): boolean {
    for (const [name, holder] of trackedHolders) {
      const instance = view.instances.get(name)
      // An instance that is not registered has left as planned, or its lease has expired.
      if (instance !== undefined && !hasReleased(holder, instance, term, stopVersion, view)) return false
    }
    return true
  }

  return { recordDirectory, areAllReleased }
}

/** A removed holder may finish requests until it has returned its slots and connections; after that it need not report a release. */
function hasReturnedShares (holder: TrackedHolder, instance: RegisteredInstance, view: GroupView): boolean {
  if (holder.removedIn === null || !hasDirectoryVersion(instance.directoryVersion, holder.removedIn)) return false
  return !view.members.some(({ database }) => instance.heldDatabases.has(database))
}

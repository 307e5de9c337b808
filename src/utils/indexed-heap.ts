/** Binary min-heap with access by key. Keys of equal priority keep their order of insertion; a changed priority counts as an insertion. */
export interface IndexedHeap<Key> {
  readonly size: number
  /** Inserts a key or changes its priority. O(log n). */
  set: (key: Key, priority: number) => void
  /** Removes a key if it is present. O(log n). */
  remove: (key: Key) => void
  /** @returns the key of the lowest priority, without removing it; undefined when the heap is empty */
  peek: () => { key: Key, priority: number } | undefined
}

interface Node<Key> {
  key: Key
  priority: number
  insertion: number
}

function isBefore<Key> (left: Node<Key>, right: Node<Key>): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority
  return left.insertion < right.insertion
}

/** @returns an empty heap */
export function createIndexedHeap<Key> (): IndexedHeap<Key> {
  const nodes: Node<Key>[] = []
  const indexes = new Map<Key, number>()
  let insertions = 0

  function place (node: Node<Key>, index: number): void {
    nodes[index] = node
    indexes.set(node.key, index)
  }

  function moveUp (node: Node<Key>, from: number): number {
    let index = from
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = nodes[parentIndex] as Node<Key>
      if (!isBefore(node, parent)) break
      place(parent, index)
      index = parentIndex
    }
    return index
  }

  function moveDown (node: Node<Key>, from: number): number {
    let index = from
    for (;;) {
      let childIndex = 2 * index + 1
      if (childIndex >= nodes.length) return index
      const right = nodes[childIndex + 1]
      if (right !== undefined && isBefore(right, nodes[childIndex] as Node<Key>)) childIndex++
      const child = nodes[childIndex] as Node<Key>
      if (!isBefore(child, node)) return index
      place(child, index)
      index = childIndex
    }
  }

  function restoreOrder (node: Node<Key>, index: number): void {
    const movedUpIndex = moveUp(node, index)
    place(node, movedUpIndex)
    place(node, moveDown(node, movedUpIndex))
  }

  function set (key: Key, priority: number): void {
    const index = indexes.get(key)
    if (index === undefined) {
      restoreOrder({ key, priority, insertion: insertions++ }, nodes.length)
      return
    }
    const node = nodes[index] as Node<Key>
    if (node.priority === priority) return
    node.priority = priority
    node.insertion = insertions++
    restoreOrder(node, index)
  }

  function remove (key: Key): void {
    const index = indexes.get(key)
    if (index === undefined) return
    indexes.delete(key)
    const last = nodes.pop() as Node<Key>
    if (last.key !== key) restoreOrder(last, index)
  }

  function peek (): { key: Key, priority: number } | undefined {
    const first = nodes[0]
    if (first === undefined) return undefined
    return { key: first.key, priority: first.priority }
  }

  return {
    get size () { return nodes.length },
    set,
    remove,
    peek
  }
}

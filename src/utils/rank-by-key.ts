const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Orders items by a hash of key and name (rendezvous hashing): every process that knows the same items gets the same order, and an
 * item that comes or goes moves only the keys that it ranks first for.
 * @param nameOf - name of an item; names differ from one another
 */
export function rankByKey<Item> (key: string, items: readonly Item[], nameOf: (item: Item) => string): Item[] {
  const seed = fold(FNV_OFFSET, key)
  return items
    .map((item) => ({ item, name: nameOf(item), weight: spread(fold(seed, nameOf(item))) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(({ item }) => item)
}

/** FNV-1a over the code units of a text. */
function fold (start: number, text: string): number {
  let hash = start
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash
}

/** Finalizer of MurmurHash3: names that differ in their last character only get unrelated weights. */
function spread (hash: number): number {
  let mixed = hash ^ (hash >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

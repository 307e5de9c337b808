const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Orders items by a hash of key and name (rendezvous hashing). Every process that knows the same items computes the same order.
 * Adding or removing an item changes the first rank only of the keys for which that item ranks first.
 * @param nameOf - name of an item, unique among the items
 */
export function rankByKey<Item> (key: string, items: readonly Item[], nameOf: (item: Item) => string): Item[] {
  const seed = hashFnv1a(FNV_OFFSET, key)
  return items
    .map((item) => ({ item, name: nameOf(item), weight: mixHash(hashFnv1a(seed, nameOf(item))) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(({ item }) => item)
}

/** Continues an FNV-1a hash over the UTF-16 code units of a text. */
function hashFnv1a (start: number, text: string): number {
  let hash = start
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash
}

/** Finalizer of MurmurHash3. Without it, names that differ only in their last character would get related weights. */
function mixHash (hash: number): number {
  let mixed = hash ^ (hash >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

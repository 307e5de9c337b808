/** Difference between a list and the previous list sent on the same connection. */
export interface ListDelta<Item> {
  /** Items that are new or whose content changed. */
  changed: Item[]
  /** Keys of items that are no longer in the list. */
  removed: string[]
}

export interface ListDeltaEncoder<Item> {
  encode: (list: readonly Item[]) => ListDelta<Item>
}

export interface ListDeltaDecoder<Item> {
  decode: (delta: ListDelta<Item>) => Item[]
}

/**
 * Encodes lists as differences. The connection must deliver every delta, in order, to one decoder.
 * @param keyOf - key of an item, unique within the list
 */
export function createListDeltaEncoder<Item> (keyOf: (item: Item) => string): ListDeltaEncoder<Item> {
  let sent = new Map<string, string>()
  return {
    encode: (list) => {
      const next = new Map(list.map((item) => [keyOf(item), JSON.stringify(item)]))
      const changed = list.filter((item) => sent.get(keyOf(item)) !== next.get(keyOf(item)))
      const removed = [...sent.keys()].filter((key) => !next.has(key))
      sent = next
      return { changed, removed }
    }
  }
}

/** @returns the decoder for the deltas of one encoder */
export function createListDeltaDecoder<Item> (keyOf: (item: Item) => string): ListDeltaDecoder<Item> {
  const items = new Map<string, Item>()
  return {
    decode: ({ changed, removed }) => {
      for (const key of removed) items.delete(key)
      for (const item of changed) items.set(keyOf(item), item)
      return [...items.values()]
    }
  }
}

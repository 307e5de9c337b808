/** Name and initial value of one blackboard entry. */
export interface EntryDefinition<Value> {
  readonly name: string
  readonly initial: Value
}

export interface EntryReader<Value> {
  read: () => Value
  /** Calls the listener after each write. */
  onWrite: (listener: (value: Value) => void) => void
}

export interface EntryWriter<Value> extends EntryReader<Value> {
  write: (value: Value) => void
}

/** Typed entries, each with exactly one writer. */
export interface Blackboard {
  /**
   * Claims the only writer of an entry.
   * @param owner - name of the controller that writes it
   * @throws Error when another owner has claimed the entry
   */
  claim: <Value>(definition: EntryDefinition<Value>, owner: string) => EntryWriter<Value>
  /** @returns read access; the initial value stands until the first write */
  reader: <Value>(definition: EntryDefinition<Value>) => EntryReader<Value>
}

export function defineEntry<Value> (name: string, initial: Value): EntryDefinition<Value> {
  return { name, initial }
}

interface Cell {
  owner: string | null
  value: unknown
  listeners: ((value: never) => void)[]
}

/** @returns an empty blackboard for one process */
export function createBlackboard (): Blackboard {
  const cells = new Map<string, Cell>()

  function cellOf (definition: EntryDefinition<unknown>): Cell {
    const known = cells.get(definition.name)
    if (known !== undefined) return known
    const cell: Cell = { owner: null, value: definition.initial, listeners: [] }
    cells.set(definition.name, cell)
    return cell
  }

  function reader<Value> (definition: EntryDefinition<Value>): EntryReader<Value> {
    const cell = cellOf(definition)
    return {
      read: () => cell.value as Value,
      onWrite: (listener) => { cell.listeners.push(listener) }
    }
  }

  function claim<Value> (definition: EntryDefinition<Value>, owner: string): EntryWriter<Value> {
    const cell = cellOf(definition)
    if (cell.owner !== null) throw new Error(`blackboard entry ${definition.name} is written by ${cell.owner} and can't be claimed by ${owner}`)
    cell.owner = owner
    return {
      ...reader(definition),
      write: (value) => {
        cell.value = value
        for (const listener of cell.listeners) listener(value as never)
      }
    }
  }

  return { claim, reader }
}

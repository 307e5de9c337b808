/** Name and initial value of one blackboard entry. */
export interface EntryDefinition<Value> {
  readonly name: string
  readonly initial: Value
}

export interface EntryReader<Value> {
  /** @returns the current value */
  read: () => Value
  /** Registers a listener that is called after each write. */
  onWrite: (listener: (value: Value) => void) => void
}

export interface EntryWriter<Value> extends EntryReader<Value> {
  write: (value: Value) => void
}

/** Typed values that the controllers of one process share. Each entry has exactly one writer. */
export interface Blackboard {
  /**
   * Claims the write access to an entry.
   * @param owner - name of the controller that writes the entry
   * @returns the only writer of the entry
   * @throws Error when the entry was claimed before
   */
  claim: <Value>(definition: EntryDefinition<Value>, owner: string) => EntryWriter<Value>
  /** @returns read access; the entry has its initial value until the first write */
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

/** @returns a blackboard for one process, without any claims */
export function createBlackboard (): Blackboard {
  const cells = new Map<string, Cell>()

  function findOrCreateCell (definition: EntryDefinition<unknown>): Cell {
    const existing = cells.get(definition.name)
    if (existing !== undefined) return existing
    const cell: Cell = { owner: null, value: definition.initial, listeners: [] }
    cells.set(definition.name, cell)
    return cell
  }

  function reader<Value> (definition: EntryDefinition<Value>): EntryReader<Value> {
    const cell = findOrCreateCell(definition)
    return {
      read: () => cell.value as Value,
      onWrite: (listener) => { cell.listeners.push(listener) }
    }
  }

  function claim<Value> (definition: EntryDefinition<Value>, owner: string): EntryWriter<Value> {
    const cell = findOrCreateCell(definition)
    if (cell.owner !== null) throw new Error(`blackboard entry ${definition.name} is written by ${cell.owner} and cannot be claimed by ${owner}`)
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

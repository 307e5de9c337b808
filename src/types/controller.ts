/** A deterministic part: takes one message or a tick at a time and returns effects for the adapters. */
export interface Controller<Message, Effect> {
  /** Handles one message. */
  handle: (message: Message) => Effect[]
  /** Called at least every 50 ms. */
  tick: () => Effect[]
}

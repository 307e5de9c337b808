/** A deterministic part of the system. It handles one message or tick at a time and returns effects that adapters carry out. */
export interface Controller<Message, Effect> {
  /** Handles one message. */
  handle: (message: Message) => Effect[]
  /** Handles the passage of time. The instance calls it at least every 50 ms. */
  tick: () => Effect[]
}

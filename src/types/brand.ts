declare const brandName: unique symbol

/** A value that can't be mixed up with another value of the same underlying type. */
export type Brand<Value, Name extends string> = Value & { readonly [brandName]: Name }

declare const brandName: unique symbol

/** A type that the compiler keeps apart from other types with the same underlying type. */
export type Brand<Value, Name extends string> = Value & { readonly [brandName]: Name }

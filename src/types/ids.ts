import type { Brand } from './brand.js'

// Each function below that has the name of a type, such as `keyId`, brands an existing string: it checks and changes nothing.
// Only `resourceId` builds a new string.

/** Name of an instance, from its settings. Stable over restarts. */
export type InstanceId = Brand<string, 'InstanceId'>
/** Identity of one incarnation of an instance or database; each restart makes a new one. */
export type IncarnationId = Brand<string, 'IncarnationId'>
/** Identity of one control data folder; a member whose folder was emptied gets a new one. */
export type MemberId = Brand<string, 'MemberId'>
export type WorkspaceId = Brand<string, 'WorkspaceId'>
export type GroupId = Brand<string, 'GroupId'>
export type DatabaseId = Brand<string, 'DatabaseId'>
export type FailureDomainId = Brand<string, 'FailureDomainId'>
/** Public name of a caller's key; not secret. */
export type KeyId = Brand<string, 'KeyId'>
export type RequestId = Brand<string, 'RequestId'>
export type TransactionId = Brand<string, 'TransactionId'>
export type ConnectionId = Brand<string, 'ConnectionId'>
/** A resource that the control leader divides into shares, see `resourceId`. */
export type ResourceId = Brand<string, 'ResourceId'>
/** `host:port` of a listening socket. */
export type Address = Brand<string, 'Address'>

export const instanceId = (value: string): InstanceId => value as InstanceId
export const incarnationId = (value: string): IncarnationId => value as IncarnationId
export const memberId = (value: string): MemberId => value as MemberId
export const workspaceId = (value: string): WorkspaceId => value as WorkspaceId
export const groupId = (value: string): GroupId => value as GroupId
export const databaseId = (value: string): DatabaseId => value as DatabaseId
export const failureDomainId = (value: string): FailureDomainId => value as FailureDomainId
export const keyId = (value: string): KeyId => value as KeyId
export const requestId = (value: string): RequestId => value as RequestId
export const transactionId = (value: string): TransactionId => value as TransactionId
export const connectionId = (value: string): ConnectionId => value as ConnectionId
export const address = (value: string): Address => value as Address

/** What is divided: rate and burst of a workspace, slots of a database, or connections to a database. */
export type ResourceKind = 'rate' | 'slots' | 'connections'

/**
 * Builds the id of a divisible resource.
 * @param kind - what is divided
 * @param name - the workspace id for `rate`, the database id otherwise
 */
export const resourceId = (kind: ResourceKind, name: string): ResourceId => `${kind}:${name}` as ResourceId

import { z } from 'zod'

/** An address at which a process listens. */
export const listenSchema = z.strictObject({
  host: z.string().min(1).default('127.0.0.1').describe('IP address to listen on; default 127.0.0.1.'),
  port: z.int().min(0).max(65535).describe('Port to listen on; 0 takes a free one.')
})

export const addressSchema = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'expected host:port')

/** Key files of an HTTPS server. */
export const keyPairSchema = z.strictObject({
  keyFile: z.string().min(1).describe('PEM file of the private key.'),
  certificateFile: z.string().min(1).describe('PEM file of the certificate chain.')
})

/** Key files of connections between instances, on which each side checks the certificate of the other. */
export const tlsSchema = z.strictObject({
  keyFile: z.string().min(1).describe('PEM file of the private key.'),
  certificateFile: z.string().min(1).describe('PEM file of the certificate chain.'),
  authorityFile: z.string().min(1).describe('PEM file of the authority that signed the peers\' certificates.')
})

export const logSchema = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Lowest level that is written; default info.')
})

export const databaseCredentialsSchema = z.strictObject({
  user: z.string().min(1).describe('User name of the system at every database.'),
  password: z.string().describe('Password of the system at every database.'),
  databaseName: z.string().min(1).default('catkinrelay').describe('Name of the database to connect to; default catkinrelay.')
})

const MIN_SECRET_LENGTH = 16

export const secretSchema = z.string().min(MIN_SECRET_LENGTH, `expected at least ${MIN_SECRET_LENGTH} characters`)

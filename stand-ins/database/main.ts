#!/usr/bin/env node
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { address, databaseId, failureDomainId, groupId } from '../../src/types/ids.js'
import { createDatabaseStandIn } from './database-stand-in.js'
import type { DatabaseStandInOptions } from './options.js'

const durationMsSchema = z.number().nonnegative()

const settingsSchema = z.strictObject({
  database: z.string().min(1),
  group: z.string().min(1),
  failureDomain: z.string().min(1),
  firstPrimary: z.string().nullable(),
  firstTerm: z.number().int().positive().default(1),
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(0).default(0),
  password: z.string().nullable().default(null),
  slots: z.number().int().positive().default(5),
  connections: z.number().int().positive().default(30),
  connectCostMs: durationMsSchema.default(10),
  statementCostMs: durationMsSchema.default(1),
  networkDelayMs: durationMsSchema.default(0),
  replicationLagMs: durationMsSchema.default(0),
  recordHistory: z.boolean().default(false),
  announcements: z.strictObject({ instances: z.array(z.string()).min(1), secret: z.string().min(1) }).nullable().default(null)
})

/** @throws Error when the file can't be read or its settings are invalid */
function readSettings (path: string): DatabaseStandInOptions {
  const settings = settingsSchema.parse(JSON.parse(readFileSync(path, 'utf8')))
  const { announcements, firstPrimary } = settings
  return {
    ...settings,
    database: databaseId(settings.database),
    group: groupId(settings.group),
    failureDomain: failureDomainId(settings.failureDomain),
    firstPrimary: firstPrimary === null || firstPrimary === 'self' ? firstPrimary : address(firstPrimary),
    announcements: announcements === null ? null : { ...announcements, instances: announcements.instances.map(address) }
  }
}

async function main (): Promise<void> {
  const path = process.argv[2]
  if (path === undefined) throw new Error('usage: catkinrelay-stand-in <settings file>')
  const standIn = createDatabaseStandIn(readSettings(path))
  await standIn.start()
  console.log(`listening on ${standIn.address()}`)
  const stop = (): void => { standIn.stop() }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

main().catch((error: unknown) => {
  console.error(error instanceof Error ? error.message : String(error))
  process.exitCode = 1
})

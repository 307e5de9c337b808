#!/usr/bin/env node
import { createLogger } from '../adapters/logs/create-logger.js'
import { runBinary } from '../adapters/process/run-binary.js'
import { monotonicClock } from '../adapters/timers/monotonic-clock.js'
import { entrySettingsSchema } from '../settings/entry-settings.js'
import { startEntryInstance } from './entry-instance.js'

await runBinary({
  name: 'catkinrelay-entry',
  description: 'Serves callers and holds connections to databases.',
  schema: entrySettingsSchema,
  start: async (settings) => await startEntryInstance({
    settings,
    clock: monotonicClock,
    random: Math.random,
    logEvent: createLogger({ instance: settings.instance, level: settings.log.level })
  })
})

#!/usr/bin/env node
import { createLogger } from '../adapters/logs/create-logger.js'
import { runBinary } from '../adapters/process/run-binary.js'
import { monotonicClock } from '../adapters/timers/monotonic-clock.js'
import { controlSettingsSchema } from '../settings/control-settings.js'
import { startControlInstance } from './control-instance.js'

const FAILURE_EXIT_CODE = 1

await runBinary({
  name: 'catkinrelay-control',
  description: 'Keeps the replicated log of manifests and terms, and coordinates instances and databases.',
  schema: controlSettingsSchema,
  start: async (settings) => {
    const instance = await startControlInstance({
      settings,
      clock: monotonicClock,
      random: Math.random,
      logEvent: createLogger({ instance: settings.instance, level: settings.log.level }),
      // A member whose data folder is damaged or gone answers no requests any more. A supervisor restarts the process when it exits.
      onFailure: () => { process.exit(FAILURE_EXIT_CODE) }
    })
    return { drain: instance.stop, reloadTls: instance.reloadTls }
  }
})

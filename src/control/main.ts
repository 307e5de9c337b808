#!/usr/bin/env node
import { createLogger } from '../adapters/logs/create-logger.js'
import { runBinary } from '../adapters/process/run-binary.js'
import { monotonicClock } from '../adapters/timers/monotonic-clock.js'
import { controlSettingsSchema } from '../settings/control-settings.js'
import { startControlInstance } from './control-instance.js'

const EXIT_FAILED = 1

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
      // A member that can't write answers nothing any more; a supervisor sees the exit and restarts it.
      onFailure: () => { process.exit(EXIT_FAILED) }
    })
    return { drain: instance.stop, reloadTls: instance.reloadTls }
  }
})

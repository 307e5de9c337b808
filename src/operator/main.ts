#!/usr/bin/env node
import { setTimeout as pause } from 'node:timers/promises'
import { wrapLine } from '../reports/text-lines.js'
import { runCommandLine } from './command-line.js'
import { exitCodes } from './exit-code.js'

try {
  process.exitCode = await runCommandLine(process.argv.slice(2), {
    out: (text) => { process.stdout.write(text) },
    error: (text) => { process.stderr.write(text) },
    pause: async (durationMs) => { await pause(durationMs) }
  })
} catch (error) {
  process.stderr.write(wrapLine(`catkinrelay failed: ${(error as Error).message}`).join('\n') + '\n')
  process.exitCode = exitCodes.failed
}

import type { ControlRequest } from '../adapters/http/send-to-control.js'
import { diffManifests, diffText } from '../reports/manifest-diff.js'
import { wrapLine } from '../reports/text-lines.js'
import { readManifestFile } from '../settings/read-manifest-file.js'
import type { CommitAnswer, ManifestAnswer, ShownManifest } from '../types/operator-answer.js'
import { computeContentDigest } from '../utils/compute-content-digest.js'
import { redactManifest } from '../utils/redact-manifest.js'
import type { ControlAnswer } from './ask-control.js'
import type { CommandOutput } from './command-output.js'
import { badInput } from './command-output.js'
import { exitCodes } from './exit-code.js'
import { failedAnswer } from './failed-answer.js'

const DIGEST_SHOWN = 12

export type Ask = (request: ControlRequest) => Promise<ControlAnswer>

/** Checks a manifest file without asking a control instance. */
export function checkCommand (file: string): CommandOutput {
  const manifest = readManifestFile(file)
  if (manifest.isErr()) return badInput(file, manifest.error)
  const { workspaces, groups, failureDomains, routes } = manifest.value
  const digest = computeContentDigest(manifest.value)
  const counts = { failureDomains: failureDomains.length, groups: groups.length, workspaces: workspaces.length, routes: routes.length }
  const lines = [
    ...wrapLine(`${file}: no problems`),
    ...wrapLine(`  content ${digest.slice(0, DIGEST_SHOWN)}`),
    ...wrapLine(`  ${counts.workspaces} workspaces, ${counts.groups} groups, ${counts.failureDomains} failure domains, ${counts.routes} routes`)
  ]
  return { exitCode: exitCodes.done, lines, data: { file, digest, counts, problems: [] } }
}

/** Compares a manifest file with the manifest in force. */
export async function diffCommand (file: string, ask: Ask): Promise<CommandOutput> {
  const manifest = readManifestFile(file)
  if (manifest.isErr()) return badInput(file, manifest.error)
  const answer = await ask({ method: 'GET', path: '/v1/manifest' })
  if (answer.kind !== 'answered') return failedAnswer(answer)
  const current = answer.body as ManifestAnswer
  const differences = diffManifests(current.manifest, redactManifest(manifest.value))
  return {
    exitCode: exitCodes.done,
    lines: [...wrapLine(`Against version ${current.manifestVersion}`), ...diffText(differences)],
    data: { manifestVersion: current.manifestVersion, differences }
  }
}

/** Commits a manifest file on top of a version. */
export async function commitCommand (file: string, base: number, ask: Ask): Promise<CommandOutput> {
  const manifest = readManifestFile(file)
  if (manifest.isErr()) return badInput(file, manifest.error)
  const answer = await ask({ method: 'POST', path: '/v1/manifest', body: JSON.stringify({ base, manifest: manifest.value }) })
  if (answer.kind !== 'answered') return failedAnswer(answer)
  const { manifestVersion, digest, resent } = answer.body as CommitAnswer
  const lines = [
    ...wrapLine(`Accepted as version ${manifestVersion}${resent ? ' (by an earlier sending)' : ''}`),
    ...wrapLine(`  content ${digest.slice(0, DIGEST_SHOWN)}`)
  ]
  return { exitCode: exitCodes.done, lines, data: { manifestVersion, digest, resent } }
}

function manifestLines ({ failureDomains, groups, workspaces, routes }: ShownManifest): string[] {
  return [
    ...failureDomains.flatMap(({ id, state }) => wrapLine(`failure domain ${id}: ${state === 'out' ? 'OUT' : 'in'}`)),
    ...groups.flatMap(({ id, slots, connections }) => wrapLine(`group ${id}: ${slots} slots, ${connections} connections`)),
    ...workspaces.flatMap(({ id, group, rate, burst, weight, keys, objectives }) => [
      ...wrapLine(`workspace ${id}`),
      ...wrapLine(`  group ${group}, ${rate}/s, burst ${burst}, weight ${weight}`),
      ...wrapLine(`  keys: ${keys.length === 0 ? 'none' : keys.map((key) => key.id).join(', ')}`),
      ...(objectives === undefined ? [] : wrapLine(`  available ${objectives.availability}, ${objectives.latencyMs} ms, stale ${objectives.stalenessMs} ms`))
    ]),
    ...routes.flatMap(({ name, workspace, access, open }) => wrapLine(`route ${name}: ${access} of ${workspace}${open ? ', OPEN TO ALL' : ''}`))
  ]
}

/** Shows the manifest in force, keys by id only. */
export async function showCommand (ask: Ask): Promise<CommandOutput> {
  const answer = await ask({ method: 'GET', path: '/v1/manifest' })
  if (answer.kind !== 'answered') return failedAnswer(answer)
  const { manifestVersion, digest, committedBy, manifest } = answer.body as ManifestAnswer
  if (manifest === null) {
    return { exitCode: exitCodes.done, lines: ['No manifest was committed yet.'], data: { manifestVersion, digest, committedBy, manifest } }
  }
  const workspaces = manifest.workspaces.map((workspace) => ({ ...workspace, keys: workspace.keys.map(({ id }) => ({ id })) }))
  const head = wrapLine(`Version ${manifestVersion}, content ${(digest ?? '').slice(0, DIGEST_SHOWN)}, committed by ${committedBy ?? 'an unknown operator'}`)
  return {
    exitCode: exitCodes.done,
    lines: [...head, ...manifestLines(manifest)],
    data: { manifestVersion, digest, committedBy, manifest: { ...manifest, workspaces } }
  }
}

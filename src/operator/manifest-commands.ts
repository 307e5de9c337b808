import type { ControlRequest } from '../adapters/http/send-to-control.js'
import { diffManifests, formatDifferences } from '../reports/manifest-diff.js'
import { wrapLine } from '../reports/text-lines.js'
import { readManifestFile } from '../settings/read-manifest-file.js'
import type { CommitAnswer, ManifestAnswer, RedactedManifest } from '../types/operator-answer.js'
import { computeContentDigest } from '../utils/compute-content-digest.js'
import { redactManifest } from '../utils/redact-manifest.js'
import type { ControlAnswer } from './request-from-leader.js'
import type { CommandOutput } from './command-output.js'
import { buildBadInputOutput } from './command-output.js'
import { exitCodes } from './exit-code.js'
import { buildFailureOutput } from './failure-output.js'

const SHOWN_DIGEST_DIGITS = 12

/** Sends a request to the control leader. */
export type RequestLeader = (request: ControlRequest) => Promise<ControlAnswer>

/** Checks a manifest file without a request to a control instance. */
export function checkManifestFile (file: string): CommandOutput {
  const manifest = readManifestFile(file)
  if (manifest.isErr()) return buildBadInputOutput(file, manifest.error)
  const { workspaces, groups, failureDomains, routes } = manifest.value
  const digest = computeContentDigest(manifest.value)
  const counts = { failureDomains: failureDomains.length, groups: groups.length, workspaces: workspaces.length, routes: routes.length }
  const lines = [
    ...wrapLine(`${file}: no problems`),
    ...wrapLine(`  content ${digest.slice(0, SHOWN_DIGEST_DIGITS)}`),
    ...wrapLine(`  ${counts.workspaces} workspaces, ${counts.groups} groups, ${counts.failureDomains} failure domains, ${counts.routes} routes`)
  ]
  return { exitCode: exitCodes.done, lines, data: { file, digest, counts, problems: [] } }
}

/** Compares a manifest file with the manifest in force, which it requests from the control leader. */
export async function diffManifestFile (file: string, requestLeader: RequestLeader): Promise<CommandOutput> {
  const manifest = readManifestFile(file)
  if (manifest.isErr()) return buildBadInputOutput(file, manifest.error)
  const answer = await requestLeader({ method: 'GET', path: '/v1/manifest' })
  if (answer.kind !== 'answered') return buildFailureOutput(answer)
  const current = answer.body as ManifestAnswer
  const differences = diffManifests(current.manifest, redactManifest(manifest.value))
  return {
    exitCode: exitCodes.done,
    lines: [...wrapLine(`Against version ${current.manifestVersion}`), ...formatDifferences(differences)],
    data: { manifestVersion: current.manifestVersion, differences }
  }
}

/**
 * Commits a manifest file.
 * @param base - version that the file replaces; the leader refuses the commit if another version is in force
 */
export async function commitManifestFile (file: string, base: number, requestLeader: RequestLeader): Promise<CommandOutput> {
  const manifest = readManifestFile(file)
  if (manifest.isErr()) return buildBadInputOutput(file, manifest.error)
  const answer = await requestLeader({ method: 'POST', path: '/v1/manifest', body: JSON.stringify({ base, manifest: manifest.value }) })
  if (answer.kind !== 'answered') return buildFailureOutput(answer)
  const { manifestVersion, digest, resent } = answer.body as CommitAnswer
  const lines = [
    ...wrapLine(`Accepted as version ${manifestVersion}${resent ? ' (by an earlier sending)' : ''}`),
    ...wrapLine(`  content ${digest.slice(0, SHOWN_DIGEST_DIGITS)}`)
  ]
  return { exitCode: exitCodes.done, lines, data: { manifestVersion, digest, resent } }
}

function formatManifest ({ failureDomains, groups, workspaces, routes }: RedactedManifest): string[] {
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

/** Requests the manifest in force from the control leader. @returns the output that shows it, with the ids of its keys only */
export async function requestManifestInForce (requestLeader: RequestLeader): Promise<CommandOutput> {
  const answer = await requestLeader({ method: 'GET', path: '/v1/manifest' })
  if (answer.kind !== 'answered') return buildFailureOutput(answer)
  const { manifestVersion, digest, committedBy, manifest } = answer.body as ManifestAnswer
  if (manifest === null) {
    return { exitCode: exitCodes.done, lines: ['No manifest was committed yet.'], data: { manifestVersion, digest, committedBy, manifest } }
  }
  const workspaces = manifest.workspaces.map((workspace) => ({ ...workspace, keys: workspace.keys.map(({ id }) => ({ id })) }))
  const heading = wrapLine(`Version ${manifestVersion}, content ${(digest ?? '').slice(0, SHOWN_DIGEST_DIGITS)}, committed by ${committedBy ?? 'an unknown operator'}`)
  return {
    exitCode: exitCodes.done,
    lines: [...heading, ...formatManifest(manifest)],
    data: { manifestVersion, digest, committedBy, manifest: { ...manifest, workspaces } }
  }
}

// Operators read reports on a phone during an outage. Wide lines, a problem at the end of a report, or a report that hides the
// missing leadership confirmation would mislead them. No report may contain the digest of a key.
import t from 'tap'
import { buildFailureDomainsReport } from '../../src/reports/failure-domains-report.js'
import { buildInForceReport } from '../../src/reports/in-force-report.js'
import { diffManifests, formatDifferences } from '../../src/reports/manifest-diff.js'
import { formatReport } from '../../src/reports/report-text.js'
import { buildStatusReport } from '../../src/reports/status-report.js'
import { wrapLine } from '../../src/reports/text-lines.js'
import { buildWorkspacesReport } from '../../src/reports/workspaces-report.js'
import { instanceId, workspaceId } from '../../src/types/ids.js'
import type { BurnReport, IncidentsReport, OperatorReport, ReportHead } from '../../src/types/operator-report.js'
import type { ReplicatedState } from '../../src/types/replicated-state.js'
import { redactManifest } from '../../src/utils/redact-manifest.js'
import { KEY_DIGEST, LONG_NAME, controlSummary, instanceSummary, manifest } from '../support/operator-fixtures.js'
import { createEmptyServiceLevels } from '../../src/types/service-level.js'

const confirmedHead: ReportHead = { freshness: { proven: true, leaderTerm: 7 }, madeBy: instanceId(LONG_NAME), madeAt: '2026-12-04T08:00:00.000Z' }
const unconfirmedHead: ReportHead = { ...confirmedHead, freshness: { proven: false, reason: 'no-majority', leaderAddress: null } }
const state: ReplicatedState = { manifestVersion: 4, manifest, acceptedDigests: [{ version: 4, digest: 'd'.repeat(64), operator: LONG_NAME }], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], groups: [], serviceLevels: createEmptyServiceLevels() }
const summary = controlSummary([instanceSummary('fresh', 1500, 4), instanceSummary('stale', 1501, 4), instanceSummary('late', 100, 3), instanceSummary(LONG_NAME, 70_000, 4)])
const burn: BurnReport = {
  report: 'burn',
  ...confirmedHead,
  lostIncrements: 2,
  withoutObjectives: [workspaceId(LONG_NAME)],
  rows: [
    { workspace: workspaceId('quiet'), objective: 'availability', target: 0.99, limitMs: null, windows: [{ window: '1h', total: 10, bad: 0, burn: 0 }], history: [0] },
    { workspace: workspaceId(LONG_NAME), objective: 'latency', target: 0.99, limitMs: 50, windows: [{ window: '1h', total: 10, bad: 5, burn: 50 }, { window: '3d', total: 0, bad: 0, burn: null }], history: [50] }
  ]
}
const incidents: IncidentsReport = {
  report: 'incidents',
  ...confirmedHead,
  dropped: 3,
  incidents: [
    { event: 405, name: 'failoverEnded', level: 'info', firstAt: confirmedHead.madeAt, lastAt: confirmedHead.madeAt, count: 1, details: { group: LONG_NAME } },
    { event: 501, name: 'requestFailed', level: 'error', firstAt: confirmedHead.madeAt, lastAt: confirmedHead.madeAt, count: 4, details: { message: 'x'.repeat(100) } }
  ]
}

const buildReports = (head: ReportHead): OperatorReport[] => [
  buildInForceReport(head, state, summary), buildStatusReport(head, state, summary), buildWorkspacesReport(head, state), buildFailureDomainsReport(head, state, summary), { ...burn, ...head }, { ...incidents, ...head }
]

for (const head of [confirmedHead, unconfirmedHead]) {
  for (const report of buildReports(head)) {
    t.test(`the ${head.freshness.proven ? 'proven' : 'unproven'} report ${report.report} has lines of at most 40 columns and contains no digest of a key`, async (t) => {
      const lines = formatReport(report)
      t.same(lines.filter((line) => line.length > 40), [])
      t.notOk((lines.join('') + JSON.stringify(report)).includes(KEY_DIGEST))
      t.match(lines[0], head.freshness.proven ? /^Proven by a majority/ : /^NOT PROVEN/)
      if (!head.freshness.proven) t.notMatch(lines.join(' '), /version \d|v\d/)
    })
  }
}

t.test('an instance whose last heartbeat is older than one lease is unknown and never in force', async (t) => {
  const rows = buildInForceReport(confirmedHead, state, summary).instances
  t.same(rows.map(({ instance, state, manifestVersion }) => [instance, state, manifestVersion]), [[LONG_NAME, 'unknown', null], ['stale', 'unknown', null], ['late', 'behind', 3], ['fresh', 'in-force', 4]])
  const text = formatReport(buildInForceReport(confirmedHead, state, summary)).join('\n')
  t.match(text, /NOT known in force on 3 of 4/)
  t.match(text, /UNKNOWN stale/)
})

const reportsWithProblems: [OperatorReport, string, string][] = [
  [buildStatusReport(confirmedHead, state, summary), 'UNKNOWN: 2', '1 instances have'],
  [burn, 'OVER', 'quiet'],
  [incidents, 'ERROR 501', 'INFO 405'],
  [buildFailureDomainsReport(confirmedHead, state, summary), 'SILENT', 'north']
]
for (const [report, problemText, laterText] of reportsWithProblems) {
  t.test(`the report ${report.report} shows problems first`, async (t) => {
    const text = formatReport(report).join(' ')
    t.ok(text.includes(problemText) && text.includes(laterText) && text.indexOf(problemText) < text.indexOf(laterText), text)
  })
}

t.test('wrapping loses no text, and control characters are replaced', async (t) => {
  const text = `  name ${'b'.repeat(90)} tail`
  const lines = wrapLine(text)
  t.ok(lines.every((line) => line.length <= 40 && line.startsWith('  ')))
  t.equal(lines.join('').replaceAll(' ', ''), text.replaceAll(' ', ''))
  t.same(wrapLine('a\u001b[31mred\nline'), ['a?[31mred?line'])
})

t.test('differences list removals first, in lines of at most 40 columns', async (t) => {
  const next = { ...manifest, workspaces: [], groups: manifest.groups.map((group) => ({ ...group, slots: 6 })), failureDomains: [...manifest.failureDomains, { id: 'new' as never, state: 'in' as const }] }
  const lines = formatDifferences(diffManifests(redactManifest(manifest), redactManifest(next)))
  t.same(lines.filter((line) => line.length > 40), [])
  t.same(lines.map((line) => line[0]).filter((mark) => mark !== ' ').sort(), ['+', '-', '-', '~'])
  t.equal(lines[0]?.[0], '-')
  t.match(lines.join(' '), /slots: 5 -> 6/)
  t.same(formatDifferences(diffManifests(redactManifest(manifest), redactManifest(manifest))), ['no differences'])
})

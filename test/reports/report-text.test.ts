import t from 'tap'
import { failureDomainsReport } from '../../src/reports/failure-domains-report.js'
import { inForceReport } from '../../src/reports/in-force-report.js'
import { diffManifests, formatDifferences } from '../../src/reports/manifest-diff.js'
import { formatReport } from '../../src/reports/report-text.js'
import { statusReport } from '../../src/reports/status-report.js'
import { wrapLine } from '../../src/reports/text-lines.js'
import { workspacesReport } from '../../src/reports/workspaces-report.js'
import { instanceId, workspaceId } from '../../src/types/ids.js'
import type { BurnReport, IncidentsReport, OperatorReport, ReportHead } from '../../src/types/operator-report.js'
import type { ReplicatedState } from '../../src/types/replicated-state.js'
import { showManifest } from '../../src/utils/show-manifest.js'
import { KEY_DIGEST, LONG_NAME, controlSummary, instanceSummary, manifest } from '../support/operator-fixtures.js'
import { emptyServiceLevels } from '../../src/types/service-level.js'

const head: ReportHead = { freshness: { proven: true, leaderTerm: 7 }, madeBy: instanceId(LONG_NAME), madeAt: '2026-12-04T08:00:00.000Z' }
const unproven: ReportHead = { ...head, freshness: { proven: false, reason: 'no-majority', leaderAddress: null } }
const state: ReplicatedState = { manifestVersion: 4, manifest, acceptedDigests: [{ version: 4, digest: 'd'.repeat(64), operator: LONG_NAME }], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], groups: [], serviceLevels: emptyServiceLevels() }
const summary = controlSummary([instanceSummary('fresh', 1500, 4), instanceSummary('stale', 1501, 4), instanceSummary('late', 100, 3), instanceSummary(LONG_NAME, 70_000, 4)])
const burn: BurnReport = {
  report: 'burn',
  ...head,
  lostIncrements: 2,
  withoutObjectives: [workspaceId(LONG_NAME)],
  rows: [
    { workspace: workspaceId('quiet'), objective: 'availability', target: 0.99, limitMs: null, windows: [{ window: '1h', total: 10, bad: 0, burn: 0 }], history: [0] },
    { workspace: workspaceId(LONG_NAME), objective: 'latency', target: 0.99, limitMs: 50, windows: [{ window: '1h', total: 10, bad: 5, burn: 50 }, { window: '3d', total: 0, bad: 0, burn: null }], history: [50] }
  ]
}
const incidents: IncidentsReport = {
  report: 'incidents',
  ...head,
  dropped: 3,
  incidents: [
    { event: 405, name: 'failoverEnded', level: 'info', firstAt: head.madeAt, lastAt: head.madeAt, count: 1, details: { group: LONG_NAME } },
    { event: 501, name: 'requestFailed', level: 'error', firstAt: head.madeAt, lastAt: head.madeAt, count: 4, details: { message: 'x'.repeat(100) } }
  ]
}

const reports = (by: ReportHead): OperatorReport[] => [
  inForceReport(by, state, summary), statusReport(by, state, summary), workspacesReport(by, state), failureDomainsReport(by, state, summary), { ...burn, ...by }, { ...incidents, ...by }
]

for (const by of [head, unproven]) {
  for (const report of reports(by)) {
    t.test(`the ${by.freshness.proven ? 'proven' : 'unproven'} report ${report.report} fits a phone and holds no digest of a key`, async (t) => {
      const lines = formatReport(report)
      t.same(lines.filter((line) => line.length > 40), [])
      t.notOk((lines.join('') + JSON.stringify(report)).includes(KEY_DIGEST))
      t.match(lines[0], by.freshness.proven ? /^Proven by a majority/ : /^NOT PROVEN/)
      if (!by.freshness.proven) t.notMatch(lines.join(' '), /version \d|v\d/)
    })
  }
}

t.test('an instance proven longer ago than one lease is unknown and never in force', async (t) => {
  const rows = inForceReport(head, state, summary).instances
  t.same(rows.map(({ instance, state, manifestVersion }) => [instance, state, manifestVersion]), [[LONG_NAME, 'unknown', null], ['stale', 'unknown', null], ['late', 'behind', 3], ['fresh', 'in-force', 4]])
  const text = formatReport(inForceReport(head, state, summary)).join('\n')
  t.match(text, /NOT known in force on 3 of 4/)
  t.match(text, /UNKNOWN stale/)
})

const worstFirst: [OperatorReport, string, string][] = [
  [statusReport(head, state, summary), 'UNKNOWN: 2', '1 instances have'],
  [burn, 'OVER', 'quiet'],
  [incidents, 'ERROR 501', 'INFO 405'],
  [failureDomainsReport(head, state, summary), 'SILENT', 'north']
]
for (const [report, bad, good] of worstFirst) {
  t.test(`the report ${report.report} tells the worst news first`, async (t) => {
    const text = formatReport(report).join(' ')
    t.ok(text.includes(bad) && text.includes(good) && text.indexOf(bad) < text.indexOf(good), text)
  })
}

t.test('lines are wrapped without losing text, and control characters can not forge output', async (t) => {
  const text = `  name ${'b'.repeat(90)} tail`
  const lines = wrapLine(text)
  t.ok(lines.every((line) => line.length <= 40 && line.startsWith('  ')))
  t.equal(lines.join('').replaceAll(' ', ''), text.replaceAll(' ', ''))
  t.same(wrapLine('a\u001b[31mred\nline'), ['a?[31mred?line'])
})

t.test('differences are listed with withdrawals first and fit a phone', async (t) => {
  const next = { ...manifest, workspaces: [], groups: manifest.groups.map((group) => ({ ...group, slots: 6 })), failureDomains: [...manifest.failureDomains, { id: 'new' as never, state: 'in' as const }] }
  const lines = formatDifferences(diffManifests(showManifest(manifest), showManifest(next)))
  t.same(lines.filter((line) => line.length > 40), [])
  t.same(lines.map((line) => line[0]).filter((mark) => mark !== ' ').sort(), ['+', '-', '-', '~'])
  t.equal(lines[0]?.[0], '-')
  t.match(lines.join(' '), /slots: 5 -> 6/)
  t.same(formatDifferences(diffManifests(showManifest(manifest), showManifest(manifest))), ['no differences'])
})

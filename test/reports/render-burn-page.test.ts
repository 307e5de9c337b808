// Operators open the burn page in a browser. An unescaped workspace name could run a script there. Figures of an instance
// without a leadership confirmation may be out of date, so the page must not show them.
import t from 'tap'
import { renderBurnPage } from '../../src/reports/render-burn-page.js'
import { renderBurnPlot } from '../../src/reports/render-burn-plot.js'
import { instanceId, workspaceId } from '../../src/types/ids.js'
import type { BurnReport } from '../../src/types/operator-report.js'

const report: BurnReport = {
  report: 'burn',
  freshness: { proven: true, leaderTerm: 7 },
  madeBy: instanceId('control-1'),
  madeAt: '2026-12-04T08:00:00.000Z',
  lostIncrements: 0,
  withoutObjectives: [],
  rows: [{ workspace: workspaceId('<script>"x"'), objective: 'availability', target: 0.999, limitMs: null, windows: [{ window: '1h', total: 10, bad: 5, burn: 500 }], history: [0, 2, null, 500] }]
}

t.test('the page escapes names and loads no other resource', async (t) => {
  const page = renderBurnPage(report)
  t.notMatch(page, /<script|https?:|url\(|@import|\son\w+=/)
  t.match(page, /&lt;script&gt;&quot;x&quot;/)
  t.match(page, /name="viewport" content="width=device-width/)
  t.match(page, /<svg viewBox="0 0 320 56"/)
  t.match(page, /availability 99\.9%/)
})

t.test('a page without a leadership confirmation shows no burn', async (t) => {
  const page = renderBurnPage({ ...report, freshness: { proven: false, reason: 'not-leader', leaderAddress: null } })
  t.match(page, /NOT PROVEN/)
  t.notMatch(page, /<svg|500/)
})

t.test('the plot of a low burn has burn 1 in the middle, and gaps where nothing was measured', async (t) => {
  const plot = renderBurnPlot([0, 2, null, 1], 'burn')
  // The viewBox is 320 x 56 with a margin of 4. Burn 0 is drawn at y = 52, burn 1 at 28 and burn 2 at 4.
  t.match(plot, /<path class="stroke" d="M4,52L108,4M316,28Z"\/>/)
  t.match(plot, /y1="28\.0"/)
  t.notMatch(renderBurnPlot([], 'burn'), /NaN/)
  t.notMatch(renderBurnPlot([null], 'burn'), /NaN/)
})

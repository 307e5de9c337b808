// d3-shape converts points to SVG path data without a browser. It has one small dependency and no install step.
import { area, line } from 'd3-shape'

/** Units of the SVG viewBox. The browser scales the drawing to the width of its container. */
const WIDTH_UNITS = 320
const HEIGHT_UNITS = 56
const MARGIN_UNITS = 4
/** Smallest burn at the upper edge. It keeps a low burn from filling the plot. */
const MIN_TOP_BURN = 2

interface Point { index: number, value: number | null }

/**
 * Draws burn over time as inline SVG.
 * @param history - burn at equal intervals, oldest first; null leaves a gap
 * @param label - text for screen readers, escaped for HTML by the caller
 */
export function renderBurnPlot (history: readonly (number | null)[], label: string): string {
  const topBurn = Math.max(MIN_TOP_BURN, ...history.map((value) => value ?? 0))
  const x = (index: number): number => MARGIN_UNITS + index / Math.max(1, history.length - 1) * (WIDTH_UNITS - 2 * MARGIN_UNITS)
  const y = (value: number): number => HEIGHT_UNITS - MARGIN_UNITS - value / topBurn * (HEIGHT_UNITS - 2 * MARGIN_UNITS)
  const points = history.map((value, index): Point => ({ index, value }))
  const shape = {
    defined: (point: Point) => point.value !== null,
    x: (point: Point) => x(point.index),
    y: (point: Point) => y(point.value ?? 0)
  }
  const fill = area<Point>().defined(shape.defined).x(shape.x).y0(y(0)).y1(shape.y).digits(1)(points) ?? ''
  const stroke = line<Point>().defined(shape.defined).x(shape.x).y(shape.y).digits(1)(points) ?? ''
  const sustainableY = y(1).toFixed(1)
  return `<svg viewBox="0 0 ${WIDTH_UNITS} ${HEIGHT_UNITS}" role="img" aria-label="${label}">` +
    `<path class="fill" d="${fill}"/><path class="stroke" d="${stroke}"/>` +
    `<line class="even" x1="${MARGIN_UNITS}" x2="${WIDTH_UNITS - MARGIN_UNITS}" y1="${sustainableY}" y2="${sustainableY}"/></svg>`
}

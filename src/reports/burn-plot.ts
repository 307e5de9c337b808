// d3-shape turns points into SVG path data without a browser; it has one small dependency and no install step.
import { area, line } from 'd3-shape'

/** Units of the viewBox; the drawing scales to the width of its container. */
const WIDTH = 320
const HEIGHT = 56
const MARGIN = 4
/** Lowest value at the upper edge, so that a quiet workspace is not drawn as a loud one. */
const LEAST_TOP = 2

interface Point { index: number, value: number | null }

/**
 * Draws burn over time as inline SVG.
 * @param history - values at equal distances, oldest first; null leaves a gap
 * @param label - text for screen readers, already escaped
 */
export function burnPlot (history: readonly (number | null)[], label: string): string {
  const top = Math.max(LEAST_TOP, ...history.map((value) => value ?? 0))
  const x = (index: number): number => MARGIN + index / Math.max(1, history.length - 1) * (WIDTH - 2 * MARGIN)
  const y = (value: number): number => HEIGHT - MARGIN - value / top * (HEIGHT - 2 * MARGIN)
  const points = history.map((value, index): Point => ({ index, value }))
  const shape = {
    defined: (point: Point) => point.value !== null,
    x: (point: Point) => x(point.index),
    y: (point: Point) => y(point.value ?? 0)
  }
  const fill = area<Point>().defined(shape.defined).x(shape.x).y0(y(0)).y1(shape.y).digits(1)(points) ?? ''
  const stroke = line<Point>().defined(shape.defined).x(shape.x).y(shape.y).digits(1)(points) ?? ''
  const even = y(1).toFixed(1)
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${label}">` +
    `<path class="fill" d="${fill}"/><path class="stroke" d="${stroke}"/>` +
    `<line class="even" x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${even}" y2="${even}"/></svg>`
}

/** @returns a Markdown table */
export function formatMarkdownTable (header: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
  const formatRow = (cells: readonly (string | number)[]): string => `| ${cells.map((cell) => String(cell).replaceAll('|', '\\|')).join(' | ')} |`
  return [formatRow(header), formatRow(header.map(() => '---')), ...rows.map(formatRow)].join('\n') + '\n'
}

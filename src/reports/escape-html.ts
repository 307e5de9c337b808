const ENTITIES: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/** @returns text that is safe in HTML content and in quoted attributes */
export function escapeHtml (text: string): string {
  return text.replaceAll(/[&<>"']/g, (character) => ENTITIES[character] ?? character)
}

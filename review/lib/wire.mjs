// Lines of the users' wire protocol: a line ends with CR LF, and with nothing else.
const LINE_END = Buffer.from('\r\n')

/** @returns a function that takes bytes and returns the lines that they complete, as Latin-1 text */
export function createLineSplitter () {
  let rest = Buffer.alloc(0)
  return (bytes) => {
    rest = rest.length === 0 ? bytes : Buffer.concat([rest, bytes])
    const lines = []
    let start = 0
    for (let end = rest.indexOf(LINE_END); end >= 0; end = rest.indexOf(LINE_END, start)) {
      lines.push(rest.toString('latin1', start, end))
      start = end + LINE_END.length
    }
    rest = rest.subarray(start)
    return lines
  }
}

/** @returns the first word, and everything after the blank that ends it */
export function splitWord (text) {
  const blank = text.indexOf(' ')
  return blank < 0 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)]
}

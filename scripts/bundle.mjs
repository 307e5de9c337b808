// Bundles the platform's programs into one file, by default the one that the deploy file starts, since loading many files takes most of the time of a start.
import { mkdirSync } from 'node:fs'
import { dirname } from 'node:path'
import { build } from 'esbuild'

/**
 * Resolves jsonc-parser to its ES modules and gives them a default export. esbuild can't bundle the package's main file,
 * which loads its parts at run time, and its ES modules have no default export.
 */
const jsoncParser = {
  name: 'jsonc-parser',
  setup (setup) {
    setup.onResolve({ filter: /^jsonc-parser$/ }, () => ({ path: 'jsonc-parser', namespace: 'default-export' }))
    setup.onLoad({ filter: /.*/, namespace: 'default-export' }, () => ({
      contents: "import * as jsonc from 'jsonc-parser/lib/esm/main.js'; export default jsonc",
      resolveDir: process.cwd()
    }))
  }
}

const [outfile = 'target/catkinrelay-platform.cjs'] = process.argv.slice(2)

mkdirSync(dirname(outfile), { recursive: true })
await build({
  entryPoints: ['platform/main.ts'],
  outfile,
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
  // Node ends on SIGHUP until a listener is set. The program sets its own once it has read its settings.
  // The directive stands first, since it counts only there.
  banner: { js: '\'use strict\';process.on(\'SIGHUP\',()=>{});' },
  plugins: [jsoncParser]
})

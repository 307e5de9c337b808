#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain JavaScript in lib-3 and need no build. This checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
test -f target/catkinrelay-platform.cjs || node scripts/bundle.mjs
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do node --check "$file"; done

#!/usr/bin/env bash
# Prepares what the scripts of the second review start. Their stand-ins (lib-2/) are plain JavaScript without dependencies and need no compiler;
# the programs under test come from the build of the deploy file. This only checks both.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/7/*.mjs review/9/*.mjs review/10/*.mjs; do node --check "$file"; done
test -f target/catkinrelay-platform.cjs || { echo 'run the build of the deploy file first' >&2; exit 2; }

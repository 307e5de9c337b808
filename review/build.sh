#!/usr/bin/env bash
# The stand-ins are plain JavaScript for Node.js: nothing is compiled, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done

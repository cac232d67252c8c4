#!/usr/bin/env bash
# Checks the stand-ins and cases. They are plain modules for Node without
# dependencies, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/case.mjs; do
  node --check "$file"
done

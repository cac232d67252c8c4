#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# plain JavaScript in review/lib-2 and need only Node: this checks that they can
# be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done

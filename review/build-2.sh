#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the programs of the
# deploy file. Their stand-ins are plain JavaScript of review/lib-2, so this only
# checks that each file can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.js review/{6,7,8,9,10}/*.js; do
  [ -e "$file" ] || continue
  node --check "$file"
done

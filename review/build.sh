#!/bin/sh
# The stand-ins are plain scripts without dependencies: this checks that they
# can be read. The programs are built with the command of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib/*.js [1-5]/case.js; do node --check "$file"; done

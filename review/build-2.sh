#!/usr/bin/env bash
# Builds the programs of the cases 4 to 8 and their stand-ins into a folder below target/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/[4-8]; do
  [ -f "$folder/case.ts" ] || continue
  node_modules/.bin/esbuild "$folder/case.ts" --bundle --platform=node --target=node20 --log-level=warning \
    --outfile="target/review-2/$(basename "$folder").js"
done

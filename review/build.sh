#!/bin/sh
# Builds the cases and their stand-ins into target/review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/*/case.ts --bundle --platform=node --target=node20 --log-level=warning \
  --out-extension:.js=.cjs --outbase=review --outdir=target/review

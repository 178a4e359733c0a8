#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts of the cases start. Needs no network after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -b packages/standin

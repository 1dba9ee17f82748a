#!/usr/bin/env bash
# The stand-ins of the cases are plain Node scripts that use nothing but Node's own modules, so there is nothing to build.
set -euo pipefail
cd "$(dirname "$0")"
node --check lib/stand-ins.mjs

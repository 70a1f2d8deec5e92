#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the nodes. Their stand-ins are plain modules of Node.js, so there is
# nothing to compile: this only checks that every module parses.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  node --check "$file"
done

#!/usr/bin/env bash
# Builds the one file that is shipped: dist/boragefold.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p dist
rm -rf build/binary
.venv/bin/pip install -q --target build/binary .
.venv/bin/shiv --site-packages build/binary --compressed \
  --python "/usr/bin/env python3.11" \
  --root /dev/shm \
  --entry-point boragefold.__main__:run --output-file dist/boragefold

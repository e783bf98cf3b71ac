#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start; the build of the deploy file
# comes first, since it installs what the project's own stand-ins import.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common src/boragefold/standins
PYTHONPATH=target/deps:src:platform python3 -c \
  "import boragefold.standins.machines"

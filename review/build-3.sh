#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: byte code only, no dependency.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins3

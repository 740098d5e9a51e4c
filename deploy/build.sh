#!/usr/bin/env bash
# Builds into target/: libraries in deps, own packages with byte code in app.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps -nt requirements.txt ]; then
  python3 -m pip install -q -U --target target/deps -r requirements.txt
  touch target/deps
fi
rm -rf target/app
mkdir -p target/app
cp -r packages/core/src/. packages/gateway/src/. packages/sidecar/src/. target/app
cp -r platform/. target/app
python3 -m compileall -q target/app

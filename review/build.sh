#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library of Python 3.11 only,
# so that their build is a check that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins 1 3

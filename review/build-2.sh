#!/bin/sh
# Compiles every stand-in that the cases 4 to 8 start; they need the standard library
# and this project's own modules only.
cd "$(dirname "$0")/.." || exit 1
python3 -S -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 1
python3 -S -m compileall -q review/standins2 eelgrasswick/emulation/packets.py || exit 1

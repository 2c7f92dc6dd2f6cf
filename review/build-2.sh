#!/bin/sh
# The stand-ins of the second review are Python scripts: nothing is compiled.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/rig-2/rig.py tests/fakes/platform_fakes.py

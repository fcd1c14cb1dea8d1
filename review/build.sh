#!/bin/bash
# The stand-ins are Python and need the packages of the deploy build only.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review standins

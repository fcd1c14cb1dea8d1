#!/bin/sh
# Builds what the cases 6 to 10 start besides the system: their stand-ins are
# Python and need what the build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c 'import review.rig2'

#!/usr/bin/env bash
# The stand-ins are Python files of the standard library alone: compile them.
cd "$(dirname "$0")" && python3 -m compileall -q lib [0-9]*

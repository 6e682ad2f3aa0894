#!/usr/bin/env bash
# See claim.txt.
exec "$(dirname "$0")/../common/run.sh" 5

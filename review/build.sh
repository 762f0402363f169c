#!/usr/bin/env bash
# Builds the stand-in that the cases' scripts start, into review/bin/. The daemons are built as
# deploy/system.toml says, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/standin

#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/second ./review/second/standin

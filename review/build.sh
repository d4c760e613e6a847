#!/bin/bash
# Builds the review's stand-ins. The daemon is built with the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/standins

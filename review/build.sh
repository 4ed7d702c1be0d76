#!/bin/sh
# Builds the stand-ins that the cases start: those of the review into review/bin, and the project's own worker
# (a command of bin/lab) into bin. It needs no network: the review's module has no dependencies, and those of
# the project have been fetched by the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/lab
cd review
mkdir -p bin
GOWORK=off go build -o bin/ ./standin

# `make build` builds all programs, `make demo` runs a small fleet for 20 s, `make test` runs the
# CI checks, `make scale` measures the resource costs of each role as the fleet grows.
.PHONY: build demo scale test

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

demo: build
	bin/lab run experiments/demo.toml --out found/demo

scale: build
	bin/lab run experiments/fleet-ahead-small.toml --out found/scale

test:
	.ci/run

# Two commands: `make demo` shows the fleet at work, `make test` passes the tests.
.PHONY: build demo test

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

demo: build
	bin/lab run experiments/demo.toml --out found/demo

test:
	.ci/run

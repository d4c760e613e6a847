GO ?= go

.PHONY: dev dev-once test test-judged build lint

# The whole system in one process, on loopback; stays up until interrupted.
dev:
	$(GO) run ./cmd/finchlab dev

dev-once:
	$(GO) run ./cmd/finchlab dev --once

# -count=1: tests with real processes depend on programs that the test cache does not
# see. -parallel: these tests mostly wait.
TEST_FLAGS ?= -count=1 -parallel 8

test:
	$(GO) test $(TEST_FLAGS) ./...

# The same tests; only those listed in KNOWN-RED.txt may fail, and they are printed.
test-judged: build
	$(GO) test -json $(TEST_FLAGS) ./... | bin/finchlab judge

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	test -z "$$(gofmt -l .)"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

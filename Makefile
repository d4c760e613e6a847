GO ?= go

.PHONY: dev dev-once test test-judged build lint

# The whole system in one process, on loopback; stays up until interrupted.
dev:
	$(GO) run ./cmd/finchlab dev

dev-once:
	$(GO) run ./cmd/finchlab dev --once

# -count=1: tests with real processes depend on programs that the test cache does not
# see. Package platform takes longest by far and mostly waits, so it starts first, beside few others.
TEST_ARGUMENTS ?= -count=1 -p 3 -parallel 12 ./platform ./...

test:
	$(GO) test $(TEST_ARGUMENTS)

# The same tests; only those listed in KNOWN-RED.txt may fail, and they are printed.
test-judged: build
	$(GO) test -json $(TEST_ARGUMENTS) | bin/finchlab judge

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	test -z "$$(gofmt -l .)"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

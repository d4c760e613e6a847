GO ?= go

.PHONY: dev dev-once test build lint

# The whole system in one process, on loopback; stays up until interrupted.
dev:
	$(GO) run ./cmd/finchlab dev

dev-once:
	$(GO) run ./cmd/finchlab dev --once

test:
	$(GO) test ./...

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	test -z "$$(gofmt -l .)"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

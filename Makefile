# springweir: build, test and run. Every target works from a clean clone.
GO ?= go
BIN := bin
DAEMONS := springweir-entry springweir-controller springweirctl springweir-standin

.PHONY: all build test run smoke lint generate

all: build

build: ## build every program into bin/
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

test: ## run the tests
	./scripts/test.sh

run: build ## run a complete small site on loopback until Ctrl-C
	./scripts/run.sh

smoke: build ## start a site, check a chat, a stream and a call through it, and stop it
	./scripts/smoke.sh

lint: ## gofmt, vet, staticcheck with doc-comment checks
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: the files above need formatting"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate: ## regenerate the committed protobuf and twirp code (needs protoc)
	$(GO) generate ./...

# Targets of individual parts: policy, model, model-mutants, bench.
-include *.mk spec/*.mk

# Tests that KNOWN-RED.txt names, a test a line as "TestName: ...", are skipped.
red := $(shell [ -s KNOWN-RED.txt ] && sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt | paste -sd '|')
skip := $(if $(red),-skip '^($(red))$$')

# The packages whose tables goroutines share.
shared := ./admit ./balance ./caller ./claim ./completion ./delivery ./directory ./gossip ./peer ./publication

.PHONY: build demo test race lint

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

demo: build
	bash scripts/demo.sh

test:
	go test -count=1 $(skip) ./...

race:
	go test -race -count=1 $(skip) $(shared)

lint:
	golangci-lint run

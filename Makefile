# Known failing tests, listed in KNOWN-RED.txt as one "TestName: ..." per line,
# are skipped.
red := $(shell [ -s KNOWN-RED.txt ] && sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt | paste -sd '|')
skip := $(if $(red),-skip '^($(red))$$')

# The packages with state shared between goroutines, tested with the race detector.
shared := ./accept ./admit ./balance ./caller ./claim ./completion ./daemon/hosted ./delivery ./directory ./feed ./forward ./gossip ./http1 \
	./ingress ./ingresshttp ./intake ./loop ./peer ./pipeline ./publication ./quarantine ./ratelimit ./relay ./replica ./replicahttp ./retrybudget ./serving ./usage

.PHONY: build demo up test overload race lint prove bench fuzz hosted

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

demo: build
	bash scripts/demo.sh

# Runs the demo system until interrupted.
up: build
	bash scripts/up.sh

test:
	go test -count=1 $(skip) ./...

# Runs the process tests with clients outside the published limits, one at a time.
# "make test" skips them, as other load disturbs them.
overload:
	BULRUSHSHED_OVERLOAD=1 go test -count=1 -p 1 -timeout 20m $(skip) ./overload

race:
	go test -race -count=1 $(skip) $(shared)

# Runs the property-based tests with many more cases than "make test".
prove:
	go test -count=1 ./delivery -run Interleavings -rapid.checks=100000 -v
	go test -count=1 ./completion -run Kills -rapid.checks=10000 -v
	go test -count=1 ./route -rapid.checks=10000
	go test -count=1 ./lease -run AtMostOne -rapid.checks=100000 -v
	go test -count=1 ./rule ./directory ./admit ./intake -rapid.checks=10000
	go test -count=1 ./retrybudget -run RuleHolds -rapid.checks=60000 -v

# Runs the benchmarks behind docs/MEASUREMENTS.md; takes about ten minutes on
# eight cores.
bench:
	go test ./control ./route ./meter ./claim ./quarantine ./ratelimit -run xxx -bench . -benchtime 300ms
	go test ./proof -run xxx -bench . -benchtime 1x
	go test ./daemon -run xxx -bench . -benchtime 1x

# Runs each fuzz target for 20 s.
fuzz:
	for target in FuzzDecodeConfig FuzzDecodeReplica FuzzDecodeRequest FuzzReadRecords FuzzNewest; do \
		go test ./platform -run xxx -fuzz "^$$target$$" -fuzztime 20s || exit 1; done
	go test ./ingresshttp -run xxx -fuzz "^FuzzFraming$$" -fuzztime 20s
	go test ./settings -run xxx -fuzz FuzzParseHost -fuzztime 20s
	go test ./ingresshttp -run xxx -fuzz FuzzRequestFraming -fuzztime 20s -fuzzminimizetime 10x
	go test ./feed -run xxx -fuzz FuzzOpen -fuzztime 20s
	go test ./quarantine -run xxx -fuzz FuzzParseItem -fuzztime 20s
	go test ./ratelimit -run xxx -fuzz FuzzMerge -fuzztime 20s

# Builds the binary for the users' platform, as deploy/system.toml does.
hosted:
	go build -ldflags=-linkmode=external -o target/ ./cmd/bulrushd

lint:
	golangci-lint run
	bash scripts/check-names.sh

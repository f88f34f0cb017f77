VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo development)
MODULES = ./api/... ./node/... ./fake/... ./ctl/... ./e2e/... ./platform/...
# Tests over separate processes run no product code inside the test process: the
# race detector would see nothing there. e2e-long builds the processes with it
# instead. Their results are never taken from go's cache, which does not know
# the binaries that they build and start.
PROCESSES = caperdrum.org/e2e caperdrum.org/e2e/abuse caperdrum.org/ctl/orderstest caperdrum.org/platform caperdrum.org/platform/abuse caperdrum.org/platform/soak
IN_PROCESS = $(filter-out $(PROCESSES),$(shell go list $(MODULES)))
# Seeds of a long soak: fresh ones unless FIRST says otherwise.
SEEDS ?= 50
FIRST ?= $(shell date +%s)
# Set by .ci/run from KNOWN-RED.txt: a pattern of tests that are passed over.
SKIP ?=
PASS_OVER = $(if $(SKIP),-skip '$(SKIP)')
LDFLAGS = -ldflags "-X main.version=$(VERSION)"

.PHONY: build demo test race e2e-long soak lint fuzz mutate bench bench-path capacity clean

build:
	go build $(LDFLAGS) -o bin/ ./node/cmd/caperdrumd ./ctl/cmd/caperdrum

demo: build
	./scripts/demo.sh

test:
	go test $(PASS_OVER) $(IN_PROCESS)
	go test $(PASS_OVER) -count=1 -p 1 -parallel 4 -timeout 10m $(PROCESSES)

race:
	go test $(PASS_OVER) -race -short -timeout 20m $(IN_PROCESS)

e2e-long:
	go test -count=1 -parallel 4 -timeout 60m -v ./e2e -args -long

# Processes under random faults, some 20 s a seed; SEEDS and FIRST say which.
soak:
	go test -count=1 -timeout 4h -v ./platform/soak -args -seeds $(SEEDS) -first $(FIRST) -steps 24 -slack 1

# Long runs of the rapid machines and fuzz targets with a fresh seed.
fuzz:
	./scripts/fuzz.sh

# Breaks one safeguard at a time in a scratch copy; the tests must notice.
mutate:
	./scripts/mutate.sh

lint:
	@files=$$(gofmt -l api node fake ctl e2e tools platform); if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi
	go vet $(MODULES)
	go run honnef.co/go/tools/cmd/staticcheck $(MODULES)
	./scripts/platform_names.sh

# A short run at the size of one deployment, under 3 minutes.
bench: build
	./scripts/bench.sh -scenario main -measure 6s

# What entry and agent add to direct calls of a stand-in.
bench-path: build
	./scripts/bench_path.sh

# Measures control's costs by the number of members (5 minutes), and writes the
# tables of docs/CAPACITY.md and its plots.
capacity: build
	go run ./ctl/cmd/capacity -part sizes
	go run ./ctl/cmd/capacity -part texts
	go run ./ctl/cmd/capacity

clean:
	rm -rf bin target

VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo development)
MODULES = ./api/... ./node/... ./fake/... ./ctl/...
LDFLAGS = -ldflags "-X main.version=$(VERSION)"

.PHONY: build demo test race lint fuzz bench clean

build:
	go build $(LDFLAGS) -o bin/ ./node/cmd/caperdrumd ./ctl/cmd/caperdrum

demo: build
	./scripts/demo.sh

test:
	go test $(MODULES)

race:
	go test -race -short $(MODULES)

lint:
	@files=$$(gofmt -l api node fake ctl); if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi
	go vet $(MODULES)
	go run honnef.co/go/tools/cmd/staticcheck $(MODULES)

clean:
	rm -rf bin

# Targets: run (a whole small deployment), test (every check), bench, capacity, fuzz.
GO ?= go
FUZZTIME ?= 2m
KNOWN_RED := $(shell sed -n 's/^[a-z0-9/]*\.\(Test[A-Za-z0-9]*\)$$/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

# Tests that measure the memory of processes. They run alone, after all others.
MEMORY_TESTS := TestCrowds|TestCrowdsDuringRollingRestart

.PHONY: run test build check bench fuzz capacity

run:
	$(GO) run ./cmd/hyssophaven dev

build:
	$(GO) build -o bin/hyssophaven ./cmd/hyssophaven

check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Results are not taken from the cache: integration builds the program itself, and
# the cache does not see its sources. Fuzz targets run on their seed corpus as part
# of the tests. Tests that KNOWN-RED.txt lists (a line "package.TestName" each) are
# printed and skipped; make test KNOWN_RED= runs them too.
test: check
	$(GO) build ./...
	@if [ -f KNOWN-RED.txt ]; then echo "passed over, because they are known to fail:"; cat KNOWN-RED.txt; fi
	$(GO) test -race -count=1 -timeout 12m -skip '^($(MEMORY_TESTS)$(if $(KNOWN_RED),|$(KNOWN_RED)))$$' ./...
	$(GO) test -race -count=1 -timeout 12m -run '^($(MEMORY_TESTS))$$' $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./integration

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# Runs every fuzz target for FUZZTIME, one after another.
fuzz:
	@for pkg in $$($(GO) list ./...); do \
	  for target in $$($(GO) test -list '^Fuzz' $$pkg | grep '^Fuzz' || true); do \
	    echo "$$pkg $$target"; $(GO) test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZTIME) $$pkg || exit 1; \
	  done; \
	done

# Measures how costs grow and works them out for the size to design for. The
# tables go to the standard output; docs/CAPACITY.md discusses them.
capacity:
	$(GO) run ./cmd/hyssophaven capacity

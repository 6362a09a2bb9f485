MODULES := capacity core e2e ebonyctl entry fleet loadgen losses platform soak steer teststore testup
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
PROGRAMS := $(filter-out core e2e fleet,$(MODULES))

# The end-to-end tests spend most of their time waiting, so several run in parallel.
E2E_FLAGS ?= -parallel=3

SOAK_FLAGS ?=

BENCH := go test -run '^$$' -count=1 -bench

# calm, days and hunt need BENCH, the bench program of the platform's users, and SITE, one of their site files, on the
# command line. Neither is part of this repository. The default of BENCH has no effect, because BENCH is set above.
BENCH ?= fleetbench
SITE ?=
DAY ?= quiet-1
DAYS ?= 40
WHY ?= make

.PHONY: build calm capacity check days demo e2e fmt fmt-check hunt lint models models-bounded soak test

build: ## Builds every program into bin/.
	mkdir -p bin
	for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

calm: ## Runs one calm day of a platform site: make calm BENCH=PATH SITE=FILE [DAY=NAME].
	$(BENCH) run $(SITE) $(DAY) --why "$(WHY)"

capacity: ## Reproduces the figures of docs/CAPACITY.md in bin/capacity.txt and prints the fitted slopes.
	mkdir -p bin
	$(BENCH) 'Lookup|Memory' -benchtime 200ms ./entry/lookup > bin/capacity.txt
	$(BENCH) . -benchtime 200ms ./core/fanout ./core/store ./entry/agent ./steer/member ./steer/owner >> bin/capacity.txt
	$(BENCH) . -benchtime 1x -timeout 10m ./capacity >> bin/capacity.txt
	go run ./capacity < bin/capacity.txt

check: ## Runs all stages of CI.
	.ci/run

days: ## Runs the standard days of a platform site: make days BENCH=PATH SITE=FILE [WHY=TEXT].
	$(BENCH) score $(SITE) --why "$(WHY)"

demo: ## Runs a small deployment on loopback, sends requests through it and checks the evidence of the upstreams.
	scripts/demo.sh

e2e: ## Runs the programs as separate processes under faults; E2E_FLAGS=-parallel=1 runs the tests one at a time.
	EBONY_TEST_FLAGS="-count=1 -timeout 25m -v $(E2E_FLAGS)" scripts/test.sh ./e2e

fmt: ## Formats all Go files.
	golangci-lint fmt $(PACKAGES)

fmt-check: ## Checks the formatting of all Go files.
	golangci-lint fmt --diff $(PACKAGES)

hunt: ## Runs randomly drawn days of a platform site to find rule violations: make hunt BENCH=PATH SITE=FILE [DAYS=40].
	$(BENCH) hunt $(SITE) --days $(DAYS) --why "$(WHY)"

lint: ## Runs the linters.
	golangci-lint run $(PACKAGES)

models: ## Checks the protocol models and their mutants with Spin in full state spaces.
	models/check.sh

models-bounded: ## Checks the protocol models in small state spaces, and their mutants.
	models/check.sh --bounded

soak: ## Disturbs the platform's program as real processes: make soak [SOAK_FLAGS='--seed 7 --duration 60s'].
	mkdir -p bin
	go build -o bin/soak ./soak
	go build -ldflags=-linkmode=external -o target/ ./platform
	bin/soak $(SOAK_FLAGS)

test: ## Runs all tests except the end-to-end tests with the race detector.
	EBONY_TEST_FLAGS="-race -count=1 -timeout 15m" scripts/test.sh $(filter-out ./e2e/...,$(PACKAGES))

# Targets for development and CI. They require Go, git and make; spec also requires spin and gcc.

GOFLAGS ?= -buildvcs=false
export GOFLAGS

.PHONY: try test lint generate build

try: ## Distributes a generated file to 16 VMs, simulated on this machine, while they serve requests.
	go run ./cmd/oriolehub try

test: ## Runs all tests with the race detector.
	go test -race -count=1 -timeout 30m $(if $(SKIP),-skip '^($(SKIP))$$') ./...

.PHONY: crowd
crowd: ## Runs the tests with crowds of uncontrolled callers, one at a time and without the race detector.
	go test -tags crowd -count=1 -p 1 -parallel 1 -timeout 20m -run '^TestCrowd' $(if $(SKIP),-skip '^($(SKIP))$$') ./cmd/oriolehub

lint: ## Checks formatting, go vet, staticcheck and generated pages.
	_scripts/lint.sh

generate: ## Regenerates docs/cli.md, the command-line reference.
	go generate ./cmd/oriolehub/cmds

build: ## Builds the program as out/oriolehub.
	go build -o out/oriolehub ./cmd/oriolehub

.PHONY: prove
prove: ## Verifies for each guard in _fixtures/proofs.yaml that its test fails without the guard and passes with it.
	go run ./_scripts/prove

.PHONY: spec
spec: ## Checks the models with spin and verifies that every broken variant violates an invariant.
	spec/check.sh

.PHONY: soak soak-regressions
soak: build ## Runs the processes on this machine with one seed's faults, then again with faults of load and with changes added.
	out/oriolehub soak --seed 1 --time 45s
	out/oriolehub soak --seed 1 --time 45s --load --folder out/soak/load
	out/oriolehub soak --seed 1 --time 45s --changes --folder out/soak/changes

soak-regressions: build ## Plays the plans of all seeds of the soak that have ever failed.
	out/oriolehub soak --plan internal/soak/plan/_fixtures/regressions

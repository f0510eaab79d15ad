# `make` without a target lists the targets.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(addprefix packages/,core wire node cli standins) platform
STAMP := $(VENV)/.installed

.PHONY: help install demo test lint format bench bench-transport experiment \
  slopes soak ci clean hunts hunt-booth hunt-booth-grown hunt-large \
  scores score-booth score-booth-grown score-large score-gutterline-grown

help:  ## List the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

install: $(STAMP)  ## Create the virtual environment with pinned versions

$(STAMP): requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	  -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
	  --no-build-isolation $(addprefix -e ./,$(PACKAGES))
	touch $(STAMP)

demo: install  ## Run both deployments and check every answer
	$(BIN)/balsamshore demo

test: install  ## Run every test
	$(BIN)/python -m pytest

lint: install  ## Check formatting, lint and types
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages/*/balsamshore_* platform/balsamshore_*

format: install  ## Format the sources and apply lint fixes
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: install  ## Compare with the plain baseline (takes minutes)
	$(BIN)/balsamshore bench

EXPERIMENT ?= bench/experiments/slow-and-silent.toml
experiment: install  ## Run a file of load and faults, with a report
	$(BIN)/balsamshore experiment $(EXPERIMENT)

slopes: install  ## Measure the resource costs in docs/CAPACITY.md
	$(BIN)/python -m bench.slopes

bench-transport: install  ## Measure the CPU time per sub-request
	$(BIN)/python -m bench.forwarding
	$(BIN)/python -m bench.transports

SEEDS ?= 1-50
SECONDS ?= 12
soak: install  ## Run the program under random faults (takes minutes)
	cd tests && ../$(BIN)/python -m adapter.soak --seeds=$(SEEDS) \
	  --seconds=$(SECONDS)

# Plays of whole days, before a landing that changes behaviour.
FLEETBENCH ?= fleetbench
SITES ?= sites
JOBS ?= 1
WHY ?= regression before a landing
HUNT = $(FLEETBENCH) hunt --jobs $(JOBS) --days
SCORE = $(FLEETBENCH) score --quick --jobs $(JOBS) --why "$(WHY)"

hunts: hunt-booth hunt-booth-grown hunt-large  ## Hunt on the regression sites

hunt-booth:  ## Hunt 40 days on cvac-booth
	$(HUNT) 40 $(SITES)/further/cvac-booth.toml

hunt-booth-grown:  ## Hunt 8 days on cvac-booth-grown
	$(HUNT) 8 $(SITES)/further-grown/cvac-booth-grown.toml

hunt-large:  ## Hunt 8 days on kswsla-search-large
	$(HUNT) 8 $(SITES)/large/kswsla-search-large.toml

scores: score-booth score-booth-grown  ## Quick scores on the regression sites
scores: score-large score-gutterline-grown

score-booth:  ## Quick score of cvac-booth
	$(SCORE) $(SITES)/further/cvac-booth.toml

score-booth-grown:  ## Quick score of cvac-booth-grown
	$(SCORE) $(SITES)/further-grown/cvac-booth-grown.toml

score-large:  ## Quick score of kswsla-search-large
	$(SCORE) $(SITES)/large/kswsla-search-large.toml

score-gutterline-grown:  ## Quick score of gutterline-lhr-grown
	$(SCORE) $(SITES)/grown/gutterline-lhr-grown.toml

ci: lint test  ## Run the checks of CI

clean:  ## Remove the files that other targets create
	rm -rf $(VENV) build out target .hypothesis .mypy_cache .ruff_cache

.PHONY: setup run test lint format measure soak fault-soak clean

PYTHON ?= python3
EXAMPLE ?= qurum
VENV := .venv
BIN := $(VENV)/bin
LIBRARIES := $(sort $(wildcard libs/*)) platform testbed
SOURCES := libs platform testbed tools measure

setup: $(VENV)/ready

$(VENV)/ready: requirements.txt $(wildcard libs/*/pyproject.toml) testbed/pyproject.toml platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-build-isolation --no-deps \
	    $(foreach library,$(LIBRARIES),--editable $(library))
	touch $@

run: setup
	$(BIN)/python -m oriolefold_testbed.deployment examples/$(EXAMPLE)

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

SUITE ?= all

measure: setup
	$(BIN)/python -m measure --suite=$(SUITE)

soak: setup
	$(BIN)/python tools/run_soak.py

SEED ?= 1
SEEDS ?= 50
ARGS ?=

# Real processes under faults from outside; 25 s a seed. ARGS=--mix=planned leaves
# out unplanned faults; --vms=24 --instances=12 --callers=60 makes a larger cluster.
fault-soak: setup
	cd platform/tests && ../../$(BIN)/python -m soak --seed=$(SEED) --seeds=$(SEEDS) $(ARGS)

clean:
	rm -rf $(VENV) run

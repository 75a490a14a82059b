PYTHON ?= python3.11
BIN := .venv/bin
SETUP := .venv/.installed

.PHONY: setup demo up test lint format measure regress

$(SETUP): requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(foreach p,$(wildcard packages/*) platform,--editable ./$(p))
	touch $(SETUP)

setup: $(SETUP)

# Sets up, then runs the whole system once against the stand-ins and stops it.
demo: $(SETUP)
	$(BIN)/python -m camphorgate_standins.demo

# Sets up, then keeps the whole system running until Ctrl-C.
up: $(SETUP)
	$(BIN)/python -m camphorgate_standins.demo --keep

# Sets up, then checks formatting and lint and runs every test.
test: $(SETUP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m tests

lint: $(SETUP)
	$(BIN)/ruff check .

format: $(SETUP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Scores the deployments of the regression runs on the users' bench, one after the other.
# FLEETBENCH is the bench, SYSTEM the folder that holds the deployments.
SYSTEM ?= ../given/kit/more/system
FLEETBENCH ?= $(SYSTEM)/more/bench-d17393/bin/fleetbench
REGRESSION_SITES := demands/ramani-kale-grown.toml demands/scwa-gate-grown.toml large/maronenglut-tirol-large.toml \
  grown/akmola-windbreak-grown.toml \
  grown/maronenglut-tirol-grown.toml
regress:
	@test -x $(FLEETBENCH) || { echo "no bench at $(FLEETBENCH); set FLEETBENCH and SYSTEM"; exit 1; }
	$(foreach site,$(REGRESSION_SITES),$(FLEETBENCH) score $(SYSTEM)/$(site) --jobs 2 --why regression &&) true

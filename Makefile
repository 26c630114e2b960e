# Everything runs from a virtual environment made from the locked requirements.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint model model-small mutants bench capacity measure generate lock

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

# The main job: a whole site on loopback under mixed load, one control process killed.
demo: $(VENV)/.ready
	$(BIN)/python -m standins.demo

# Formatter, linter, the specification at small bounds, and the whole suite.
test: lint model-small
	$(BIN)/python -m pytest -q -n 4

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

# The specification at full bounds, and that each of its guards is needed.
model: $(VENV)/.ready
	$(BIN)/python -m specification

model-small: $(VENV)/.ready
	SPECIFICATION_SMALL=1 $(BIN)/python -m specification

# Each guard of the product removed in a scratch copy: its tests must fail.
mutants: $(VENV)/.ready
	$(BIN)/python -m proofs

# Speed of the critical path, the cost of a commit, how long recoveries take, and starts.
bench: $(VENV)/.ready
	$(BIN)/python -m benchmarks.speed
	$(BIN)/python -m benchmarks.commits
	$(BIN)/python -m benchmarks.failover
	$(BIN)/python -m benchmarks.recovery
	$(BIN)/python -m benchmarks.passes
	$(BIN)/python -m benchmarks.start

# The slopes behind docs/CAPACITY.md.
capacity: $(VENV)/.ready
	$(BIN)/python -m benchmarks.capacity

# Routing policies against the baselines, on real processes.
measure: $(VENV)/.ready
	$(BIN)/python -m benchmarks.policies

# Needs the thrift compiler, 0.17; its output is committed.
generate:
	thrift --gen py:slots,enum,package_prefix=savoryshelf.wire. -out src/savoryshelf/wire src/savoryshelf/wire/messages.thrift
	rm -f src/savoryshelf/wire/generated/*-remote

lock: $(VENV)/.ready
	$(BIN)/pip install --quiet pip-tools
	$(BIN)/pip-compile --quiet --strip-extras --no-emit-index-url --extra dev --output-file requirements.lock pyproject.toml

# Everything runs from a virtual environment made from the locked requirements.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint generate lock

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

# The main job: a whole site on loopback under mixed load, one control process killed.
demo: $(VENV)/.ready
	$(BIN)/python -m standins.demo

# Formatter, linter and the whole suite.
test: lint
	$(BIN)/python -m pytest -q -n 4

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

# Needs the thrift compiler, 0.17; its output is committed.
generate:
	thrift --gen py:slots,enum,package_prefix=savoryshelf.wire. -out src/savoryshelf/wire src/savoryshelf/wire/messages.thrift
	rm -f src/savoryshelf/wire/generated/*-remote

lock: $(VENV)/.ready
	$(BIN)/pip install --quiet pip-tools
	$(BIN)/pip-compile --quiet --strip-extras --no-emit-index-url --extra dev --output-file requirements.lock pyproject.toml

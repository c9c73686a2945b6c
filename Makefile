# Runs from a fresh checkout with Python 3.11, make and a package registry.
PYTHON ?= python3
PYTEST_ARGS ?=
# Tests run in so many processes; each reserves its own loopback addresses.
WORKERS ?= 4
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

SOAK_ARGS ?= --seed 1

.PHONY: demo test check format soak clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m tests.whole_path

test: $(STAMP)
	$(BIN)/python -m pytest -n $(WORKERS) $(PYTEST_ARGS)

soak: $(STAMP)
	$(BIN)/python -m eelgrasswick.soak $(SOAK_ARGS)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info

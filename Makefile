# Everyday targets. `make venv` sets up everything the others need.

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SOURCES := packages platform tools bench tests

.PHONY: venv demo test format format-check lint types check soak bench capacity generate clean

venv: $(STAMP)

$(STAMP): constraints.txt packages/core/pyproject.toml packages/node/pyproject.toml packages/ctl/pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -c constraints.txt setuptools wheel
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-build-isolation -c constraints.txt \
		-e packages/core -e packages/node -e packages/ctl -r requirements-dev.txt
	touch $(STAMP)

demo: venv
	$(PYTHON) -m tools.demo

test: venv
	$(PYTHON) -m pytest

format: venv
	$(VENV)/bin/ruff format $(SOURCES)

format-check: venv
	$(VENV)/bin/ruff format --check $(SOURCES)

lint: venv
	$(VENV)/bin/flake8 $(SOURCES)

types: venv
	$(VENV)/bin/mypy $(SOURCES)

check: format-check lint types test

# Plays 50 seeds of the fault soak; SOAK='--first 51 --count 20' plays others.
soak: venv
	PYTHONPATH=.:platform $(PYTHON) -m tests.soak $(SOAK)

bench: venv
	$(PYTHON) -m bench.main

capacity: venv
	$(PYTHON) -m bench.capacity

generate: venv
	$(PYTHON) tools/generate.py

clean:
	rm -rf $(VENV) build

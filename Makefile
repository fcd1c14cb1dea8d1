VENV ?= .venv
PYTHON ?= python3
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SITE ?= kobberfonden
SEEDS ?= 20
FIRST_SEED ?= 1
# Not empty: fault runs also change what engines shall serve.
ORDERS ?=

.PHONY: test run up faults bench load clean

# Installs the package and its development tools into the virtual environment.
$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

test: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy
	$(PY) -m pytest

run: $(STAMP)
	$(PY) -m standins.demo --site $(SITE)

up: $(STAMP)
	$(PY) -m standins.demo --site $(SITE) --keep-up

faults: $(STAMP)
	$(PY) -m standins.fault_runs --seeds $(SEEDS) --first-seed $(FIRST_SEED) $(if $(ORDERS),--orders)

bench: $(STAMP)
	$(PY) -m bench.compare

load: $(STAMP)
	$(PY) -m bench.load

clean:
	rm -rf build $(VENV)

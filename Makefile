VENV ?= .venv
PYTHON ?= python3
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SITE ?= kobberfonden
SEEDS ?= 20
FIRST_SEED ?= 1
# Limit of time of a soak in minutes, 0 for none; entry hosts of soaks and
# of runs with rate limits.
MINUTES ?= 0
HOSTS ?= 6
# Not empty: fault runs also change what engines shall serve.
ORDERS ?=

.PHONY: test run up faults quotas limits crashes versions cuts streams configs soak bench load clean

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
ifeq ($(SITE),platform)
	$(PY) -m standins.platform_demo
else
	$(PY) -m standins.demo --site $(SITE)
endif

up: $(STAMP)
	$(PY) -m standins.demo --site $(SITE) --keep-up

faults: $(STAMP)
	$(PY) -m standins.fault_runs --seeds $(SEEDS) --first-seed $(FIRST_SEED) $(if $(ORDERS),--orders)

quotas: $(STAMP)
	$(PY) -m standins.quota_runs --seeds $(SEEDS) --first-seed $(FIRST_SEED) --hosts $(HOSTS)

limits: $(STAMP)
	$(PY) -m standins.limit_runs --seeds $(SEEDS) --first-seed $(FIRST_SEED) --hosts $(HOSTS)

crashes: $(STAMP)
	$(PY) -m standins.crash_runs --seeds $(SEEDS) --first-seed $(FIRST_SEED) --hosts $(HOSTS)

versions: $(STAMP)
	$(PY) -m standins.version_runs --seeds $(SEEDS) --first-seed $(FIRST_SEED) --hosts $(HOSTS)

cuts: $(STAMP)
	$(PY) -m standins.cut_runs --seeds $(SEEDS) --first-seed $(FIRST_SEED) --hosts $(HOSTS)

streams: $(STAMP)
	$(PY) -m standins.stream_runs --seeds $(SEEDS) --first-seed $(FIRST_SEED)

configs: $(STAMP)
	$(PY) -m standins.config_runs --seeds $(SEEDS) --first-seed $(FIRST_SEED)

soak: $(STAMP)
	$(PY) -m standins.soak --seeds $(SEEDS) --first-seed $(FIRST_SEED) --minutes $(MINUTES) --hosts $(HOSTS)

bench: $(STAMP)
	$(PY) -m bench.compare

load: $(STAMP)
	$(PY) -m bench.load

clean:
	rm -rf build $(VENV)

VENV ?= .venv
# An empty SETUP uses the tools in VENV as they are.
SETUP ?= $(VENV)/.installed
PYTHON := $(VENV)/bin/python
BENCHMARKS := admission control_cost endpoint_choice expert_maps map_search map_switch mass_restart path_cost rank_placement store_restore team_shares
SOURCES := packages platform standins tests bench tools
export PYTHONPATH := packages/core/src:packages/gateway/src:packages/sidecar/src:platform:standins/src:.

.PHONY: setup format lint test check run bench faults docs clean

setup: $(SETUP)

$(VENV)/.installed: requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) standins/pyproject.toml
	python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		-e packages/core -e packages/gateway -e packages/sidecar -e standins
	touch $@

format: setup
	$(PYTHON) -m ruff format $(SOURCES)
	$(PYTHON) -m ruff check --fix $(SOURCES)

lint: setup
	$(PYTHON) -m ruff format --check $(SOURCES)
	$(PYTHON) -m ruff check $(SOURCES)
	$(PYTHON) -m mypy packages/core/src packages/gateway/src packages/sidecar/src platform standins/src tools
	MYPYPATH=bench $(PYTHON) -m mypy bench

test: setup
	$(PYTHON) -m pytest

check: lint test

# SEED selects the random choices; FLOW runs one flow only.
faults: setup
	PYTHONPATH=$(PYTHONPATH):tests $(PYTHON) -m faults --seed $(or $(SEED),1) $(if $(FLOW),--flow $(FLOW))

run: setup
	$(PYTHON) -m verbenafall_standins.demo --directory run $(if $(KEEP),--keep)

docs: setup
	$(PYTHON) tools/events_page.py > docs/events.md.new
	mv docs/events.md.new docs/events.md

# Prints one JSON line per figure and nothing else on standard output.
bench: setup
	@set -e; for name in $(BENCHMARKS); do $(PYTHON) bench/$$name.py; done

clean:
	rm -rf $(VENV) build run .mypy_cache .ruff_cache .pytest_cache .hypothesis

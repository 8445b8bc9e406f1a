VENV ?= .venv
PYTHON ?= python3
BIN := $(abspath $(VENV))/bin
STAMP := $(VENV)/.installed
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)
# The order of sets of names decides how simulated messages interleave; a fixed seed
# gives every run of the tests the same verdict.
export PYTHONHASHSEED := 0

.PHONY: install test check format lint layers types unit demo bench capacity soak clean

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[dev]'
	touch $(STAMP)

test: $(STAMP) check

# The checks without the installation, for a work tree that shares an environment.
check: format lint layers types unit

format:
	$(BIN)/ruff format --check src testing bench

lint:
	$(BIN)/ruff check src testing bench

layers:
	$(BIN)/lint-imports --no-cache

types:
	$(BIN)/mypy

unit:
	$(BIN)/python -m testing.run

demo: $(STAMP)
	BIN=$(BIN) bash demo/run.sh

bench: $(STAMP)
	$(BIN)/python -m bench

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

# Fresh seeds each time; SEEDS="7 12" plays given ones again, SEEDS= all that failed.
SEEDS ?= $(shell shuf -i 1000-999999 -n 6)

soak: $(STAMP)
	$(BIN)/python -m testing.soak $(SEEDS)

clean:
	rm -rf .venv out

# Each target sets up what it needs in .venv and .tox.
PYTHON ?= python3.11
VENV := .venv
TOX := $(VENV)/bin/tox run -q

.PHONY: demo test lint bench bench-check soak binary clean
SEEDS ?= 10

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q "tox>=4.23" -e .
	touch $@

demo: $(VENV)/.ready
	$(VENV)/bin/boragefold demo

test: $(VENV)/.ready
	$(TOX) -e test

lint: $(VENV)/.ready
	$(TOX) -e fix,type,docs -- --check src platform tests tools

bench: $(VENV)/.ready
	$(VENV)/bin/boragefold bench

bench-check: $(VENV)/.ready
	$(VENV)/bin/boragefold bench --check

soak: $(VENV)/.ready
	$(TOX) -e test --notest
	PYTHONPATH=src:platform:. .tox/test/bin/python -m tests.soak --seeds $(SEEDS)

binary: $(VENV)/.ready
	$(VENV)/bin/pip install -q "shiv>=1.0.8"
	tools/build-binary.sh

clean:
	rm -rf $(VENV) .tox build dist docs/_build

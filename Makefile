VENV ?= .venv
PYTHON = $(VENV)/bin/python
export PYTHONPATH = src
# A folder that does not exist yet would fail black.
SOURCES = $(wildcard src tests features tools)

.PHONY: venv check format lint test demo binary bench clean

venv:
	@test -x $(PYTHON) || python3 -m venv $(VENV)
	@cat requirements.txt requirements-dev.txt | \
	  cmp -s - $(VENV)/installed.txt || { \
	  $(PYTHON) -m pip install --quiet --no-deps -r requirements-dev.txt && \
	  $(PYTHON) -m pip install --quiet --no-deps --no-build-isolation -e . && \
	  cat requirements.txt requirements-dev.txt > $(VENV)/installed.txt; }

format: venv
	$(PYTHON) -m black --quiet $(SOURCES)

lint: venv
	$(PYTHON) -m black --quiet --check $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

test: venv
	$(PYTHON) tools/runtests.py

check: lint test

demo: venv
	$(PYTHON) -m limpetlift demo

binary: venv
	$(PYTHON) tools/binary.py

bench: venv
	$(PYTHON) -m limpetlift bench

clean:
	rm -rf build dist

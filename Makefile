VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup test lint format demo demo-platform bench

$(VENV)/.installed: pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[test]'
	touch $@

setup: $(VENV)/.installed

test: setup
	mkdir -p build
	$(BIN)/python -m nose2 --start-dir tests --top-level-directory .

lint: setup
	$(BIN)/ruff check src tests
	$(BIN)/ruff format --check src tests

format: setup
	$(BIN)/ruff check --fix src tests
	$(BIN)/ruff format src tests

demo: setup
	$(BIN)/catkinpost-demo

demo-platform: setup
	$(BIN)/catkinpost-platform-demo

bench: setup
	$(BIN)/catkinpost-path-bench

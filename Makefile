# Every target sets up what it needs: a virtual environment in .venv.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
STEPS ?= 20000
RUNS ?= 1
JOBS ?= 1

.PHONY: setup test check demo prove measure slopes soak bench pieces proto requirements

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

test: setup
	$(BIN)/python -m pytest

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

demo: setup
	$(BIN)/python -m standins.demo

prove: setup
	$(BIN)/python -m lab.prove --seed $(SEED) --steps $(STEPS)

measure: setup
	$(BIN)/python -m lab.measure

slopes: setup
	$(BIN)/python -m lab.slopes

soak: setup
	$(BIN)/python -m lab.soak --seed $(SEED) --runs $(RUNS) --jobs $(JOBS)

bench: setup
	$(BIN)/python -m lab.bench

pieces: setup
	$(BIN)/python -m lab.pieces

proto: setup
	$(BIN)/python -m grpc_tools.protoc --proto_path=. --python_out=. \
		--grpc_python_out=. skylarkpost/rpc/*.proto

requirements: setup
	$(BIN)/python -m lab.requirements

PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1
export PYTHONPATH := src:.

.PHONY: test lint types unit demo bench soak soak-model

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

test: lint types unit

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src standins benchmarks demo soak tests packaging

types: $(VENV)/.installed
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python -m pytest -n 6

bench: $(VENV)/.installed
	$(BIN)/python -m benchmarks $(NAME) --seed $(SEED)

demo: $(VENV)/.installed
	$(BIN)/python -m demo

soak: $(VENV)/.installed
	$(BIN)/python -m soak --seeds $(or $(SEEDS),1:51) \
		--plan $(or $(PLAN),general)

soak-model: $(VENV)/.installed
	$(BIN)/python -m tests.ownership.soak --seeds $(or $(SEEDS),0:2000)

include packaging/binary.mk
include packaging/report.mk

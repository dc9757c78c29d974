# Every target creates the environment it needs.
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

.PHONY: test lint demo bench proofs soak clean

$(STAMP): requirements.lock pyproject.toml
	python3.11 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 godwitstall standin loadtool bench examples tests platform
	$(BIN)/mypy

demo: $(STAMP)
	$(BIN)/python -m bench.demo

bench: $(STAMP)
	$(BIN)/python -m bench.run

proofs: $(STAMP)
	$(BIN)/python -m bench.proofs

soak: $(STAMP)
	GODWITSTALL_SOAK=1 $(BIN)/python -m pytest tests

clean:
	rm -rf $(VENV)

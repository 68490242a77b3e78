# The virtual environment; set VENV to use one that exists already.
VENV ?= .venv
BIN = $(VENV)/bin
SEED ?= 1
STEPS ?= 200
SECONDS ?= 60

.PHONY: setup format check-format lint types imports test demo bench check-model soak soak-processes capacity

# A virtual environment that the caller names is used as it is.
ifeq ($(origin VENV),file)
setup: $(VENV)/.installed
else
setup:
	@test -x $(BIN)/python || { echo "VENV=$(VENV) has no bin/python" >&2; exit 1; }
endif

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation --editable .
	touch $@

format: setup
	$(BIN)/black src spec tests benchmarks
	$(BIN)/ruff check --fix src spec tests benchmarks

check-format: setup
	$(BIN)/black --check src spec tests benchmarks

lint: setup
	$(BIN)/ruff check src spec tests benchmarks

types: setup
	$(BIN)/mypy

imports: setup
	PYTHONPATH=src $(BIN)/lint-imports

test: setup
	$(BIN)/python -m pytest

demo: setup
	PYTHONPATH=src $(BIN)/python -m chicoryproxy.commands.demo

bench: setup
	PYTHONPATH=src:. $(BIN)/python -m benchmarks.bench

check-model: setup
	PYTHONPATH=src:. $(BIN)/python -m spec.check --depth full

soak: setup
	PYTHONPATH=src:. $(BIN)/python -m benchmarks.soak --seed $(SEED) --steps $(STEPS)

soak-processes: setup
	PYTHONPATH=src:. $(BIN)/python -m tests.soak.run --seed $(SEED) --seconds $(SECONDS)

capacity: setup
	PYTHONPATH=src:. $(BIN)/python -m benchmarks.capacity

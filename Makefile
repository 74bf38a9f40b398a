# `make demo` and `make test` do their own set-up from a bare checkout.
PYTHON ?= python3.11
BIN = .venv/bin

.PHONY: setup test demo emulate report bench measure slopes check format protos

setup: .venv/ready

.venv/ready: requirements.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.txt
	touch $@

test: setup
	$(BIN)/python -m unittest discover --start-directory test --top-level-directory .

demo: setup
	$(BIN)/python -m demo.run

emulate: setup
	$(BIN)/python -m emulator.run

report: setup
	mkdir -p target
	$(BIN)/python -m emulator.run --draw target/load.svg
	$(BIN)/python -m reports.scores target/scores.svg

bench: setup
	$(BIN)/python -m bench.latency

measure: setup
	$(BIN)/python -m bench.measure

slopes: setup
	$(BIN)/python -m bench.slopes

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

protos: setup
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. whinwinch/daemons/peer.proto

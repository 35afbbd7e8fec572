# `make run` and `make test` also install the dependencies; a fresh machine needs only python3 (3.11 or newer).
PY = .venv/bin/python
STAMP = .venv/.set-up

.PHONY: setup run test lint soak badday proto scale scale-small
setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install -q -r requirements.txt -r requirements-dev.txt
	$(PY) -m pip install -q --no-deps -e .
	touch $(STAMP)

run: setup
	$(PY) -m lapiswing demo

# The tests of one file stay in one process, one after the other.
TEST_PROCESSES = 3
test: setup lint
	OPENBLAS_NUM_THREADS=1 $(PY) -m pytest -q -n $(TEST_PROCESSES) --dist loadfile

# The linter checks the modules listed in pyproject.toml, the formatter the whole tree.
lint: setup
	$(PY) -m ruff check -q
	$(PY) -m ruff format -q --check --config 'include=["**/*.py"]'

# Randomized fault injection around real gateways (docs/incidents/hunt.md); not part of the tests.
soak: setup
	$(PY) -m lapiswing.lab.soak --seeds 1-20 --jobs 2

badday: setup
	$(PY) -m lapiswing badday --script all

# Benchmarks of the fleet's cost at its target size (docs/CAPACITY.md), within 15 minutes; `scale-small` is a short check
# within 60 s.
SCALE = OPENBLAS_NUM_THREADS=1 $(PY) -m benchmarks.scale
RECORDS = benchmarks/scale/records
scale: setup
	$(SCALE) router --out $(RECORDS)/router.json
	$(SCALE) rig benchmarks/scale/scenarios/target.toml --out $(RECORDS)/rig-target.json
	$(SCALE) fleet --out $(RECORDS)/fleet.json
	$(SCALE) charts

scale-small: setup
	$(SCALE) router --sizes 160,640 --seconds 4 --plays 1
	$(SCALE) rig benchmarks/scale/scenarios/small.toml

proto: setup
	$(PY) -m pip install -q 'grpcio-tools>=1.85,<2'
	$(PY) -m grpc_tools.protoc -Ilapiswing/settings --python_out=lapiswing/settings lapiswing/settings/settings.proto

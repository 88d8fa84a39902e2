PY := .venv/bin/python
SEEDS ?= 200
# Packages precede tests/, which contains folders of the same names.
export PYTHONPATH := packages/seam_policy:packages/seam_model:packages/seam_node:packages/seam_ctl:platform:tests:.

.PHONY: demo hold test lint format bench forward-bench measure slopes soak

.venv/.installed: requirements.txt packages/seam_policy/pyproject.toml packages/seam_model/pyproject.toml packages/seam_node/pyproject.toml packages/seam_ctl/pyproject.toml platform/pyproject.toml
	python3 -m venv .venv
	$(PY) -m pip install -q -r requirements.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation -e packages/seam_policy -e packages/seam_model -e packages/seam_node -e packages/seam_ctl -e platform
	touch $@

demo: .venv/.installed
	$(PY) -m bench.demo

hold: .venv/.installed
	$(PY) -m bench.demo --hold

test: .venv/.installed
	$(PY) -m tools.known_red

lint: .venv/.installed
	$(PY) -m ruff format --check packages platform tests bench tools
	$(PY) -m ruff check packages platform tests bench tools
	$(PY) -m tools.lint_imports packages platform tests bench tools

format: .venv/.installed
	$(PY) -m ruff format packages platform tests bench tools
	$(PY) -m ruff check --fix packages platform tests bench tools

bench: .venv/.installed
	$(PY) -m bench.speed

forward-bench: .venv/.installed
	$(PY) -m bench.forward_speed

measure: .venv/.installed
	$(PY) -m bench.measure

slopes: .venv/.installed
	$(PY) -m bench.slopes

soak: .venv/.installed
	SOAK_SEEDS=$(SEEDS) $(PY) -m pytest tests/proofs tests/soak

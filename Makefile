# Development targets; see README.md.
SHELL := /bin/bash
VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := core wire node gateway cli standins bench
# The platform adapter is not an installable package; the platform's build
# copies its sources.
SRC := $(foreach p,$(PACKAGES),packages/$(p)/src) platform/src
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(SRC)))
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: install test lint unit demo cluster generate

ifdef SKIP_INSTALL
install:
else
install: $(VENV)/.installed
endif

$(VENV)/.installed: requirements.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements.txt
	$(PY) -m pip install --quiet --no-deps --no-build-isolation \
	  $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

lint: install
	$(PY) -m black --check --quiet packages platform tools
	$(PY) -m flake8 packages platform tools
	$(PY) -m mypy --no-error-summary $(SRC) tools
	$(PY) tools/check_imports.py

unit: install
	$(PY) tools/run_tests.py

test: lint unit

# Generated code and pages are committed; run this after changing a .proto file
# or the table of error kinds.
generate: install
	$(PY) -m grpc_tools.protoc -I packages/wire/src \
	  --python_out=packages/wire/src --pyi_out=packages/wire/src \
	  packages/wire/src/quetzalward_wire/peer.proto
	$(PY) tools/error_kinds.py > docs/error-kinds.md

demo: install
	$(PY) -m quetzalward_standins demo

cluster: install
	@exec $(PY) -m quetzalward_standins cluster

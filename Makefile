VENV ?= .venv
PYTHON := $(VENV)/bin/python
LIBRARIES := protocol configuration daemon decisions objects gateway agent proxy replay cli standins
# What building needs: the libraries here, and hdrhistogram where it has no wheel.
BUILD_TOOLS := poetry-core setuptools pbr
empty :=
space := $(empty) $(empty)
# The sources of this very checkout go first, so a second worktree may share a VENV.
SOURCES := $(foreach library,$(LIBRARIES),libraries/$(library)/src) platform/src
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(SOURCES)))
export UV_USE_IO_URING := 0
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: reference demo demo-platform demo-stay test check wheels format types protocol mutations bench bench-load capacity bench-context

demo: $(VENV)/ready
	$(PYTHON) tools/demo.py

demo-platform: $(VENV)/ready
	cd platform && $(abspath $(PYTHON)) -m tests.demo

demo-stay: $(VENV)/ready
	$(PYTHON) tools/demo.py --stay

test: $(VENV)/ready
	$(PYTHON) tools/run_tests.py

check: $(VENV)/ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PYTHON) tools/imports.py
	$(PYTHON) tools/reference.py --check
	$(VENV)/bin/mypy $(SOURCES) tools

# Asks the package index; installs nothing.
wheels: $(VENV)/ready
	$(PYTHON) tools/wheels.py

format: $(VENV)/ready
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# Simulated time only; the table with its baselines takes some minutes.
bench-load: $(VENV)/ready
	PYTHONPATH=$(PYTHONPATH):$(CURDIR)/tools $(PYTHON) -m bench_load.table
	PYTHONPATH=$(PYTHONPATH):$(CURDIR)/tools $(PYTHON) -m bench_load.cost

# Writes docs/configuration.md from the checked types; its output is committed.
reference: $(VENV)/ready
	$(PYTHON) tools/reference.py

bench-context: $(VENV)/ready
	PYTHONPATH=$(PYTHONPATH):$(CURDIR)/tools $(PYTHON) -m bench_context

# Only needed after editing the .proto file; its output is committed.
protocol: $(VENV)/ready
	cd libraries/protocol/src && $(abspath $(PYTHON)) -m grpc_tools.protoc -I . \
		--python_out=. --pyi_out=. --grpc_python_out=. bamboopier_protocol/agent.proto

# A VENV given on the command line is used as it is: it may be another worktree's.
ifeq ($(origin VENV),file)
$(VENV)/ready: constraints.txt requirements-dev.txt $(wildcard libraries/*/pyproject.toml) platform/pyproject.toml
	@python3 tools/set_up.py $(VENV) "$(BUILD_TOOLS)" --requirement requirements-dev.txt \
		$(foreach library,$(LIBRARIES),--editable libraries/$(library)) --editable platform
	@touch $@
endif

# Slopes for docs/CAPACITY.md; takes some minutes, writes docs/capacity.json.
capacity: $(VENV)/ready
	cd tools && $(abspath $(PYTHON)) -m capacity

# Takes each safeguard out and sees its test turn red.
mutations: $(VENV)/ready
	$(PYTHON) tools/mutate.py

.PHONY: binary binary-check

binary: $(VENV)/.installed
	$(BIN)/python packaging/build.py

binary-check: binary
	PYTHONPATH=packaging $(BIN)/python -m binary_check

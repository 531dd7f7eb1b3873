.PHONY: binary binary-check

binary: $(VENV)/.installed
	$(BIN)/python packaging/build.py

binary-check: binary
	$(BIN)/python packaging/check.py

.PHONY: report changelog

report: $(VENV)/.installed
	$(BIN)/python -m benchmarks._report $(if $(NAME),--only $(NAME)) --seed $(SEED)

changelog: $(VENV)/.installed
	$(BIN)/python packaging/changelog.py

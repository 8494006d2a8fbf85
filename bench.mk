.PHONY: bench

bench: ## measure the overhead of an entry per request, and by zone size
	$(GO) test ./entry -run '^$$' -bench . -benchtime 2000x

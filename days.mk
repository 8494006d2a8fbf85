# Targets for the days of the users' bench; included by the root Makefile. BENCH is the bench program.
.PHONY: day score hunt own-days
DAY ?= quiet-1
DAYS ?= 40
WHY ?= no reason given
OWN := $(or $(TMPDIR),/tmp)/springweir-days

day: ## run one day of SITE
	$(BENCH) run $(SITE) $(DAY) --why "$(WHY)"

score: ## run and score the standard days of SITE
	$(BENCH) score $(SITE) --why "$(WHY)"

hunt: ## run DAYS days of SITE with other random seeds
	$(BENCH) hunt $(SITE) --days $(DAYS) --why "$(WHY)"

own-days: ## run a day for each kind of disturbance that SITE supports, and for pairs of them
	./scripts/own-days.sh "$(BENCH)" "$(SITE)" "$(OWN)" "$(WHY)"

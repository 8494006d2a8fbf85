# The fault soak; included by the root Makefile.
.PHONY: soak soak-drills
SEEDS ?= 1-50

soak: ## run real gateways under faults for the seeds A-B, some 20 s each
	SPRINGWEIR_SOAK_SEEDS=$(SEEDS) go test ./platform/soak -run 'TestSoak$$' -count=1 -v -timeout 2h

soak-drills: ## let the store come back from copies, and nothing else, for the seeds A-B
	SPRINGWEIR_SOAK_DRILLS=$(SEEDS) go test ./platform/soak -run TestSoakDrills -count=1 -v -timeout 2h

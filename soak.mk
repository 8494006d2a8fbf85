# Soak tests under faults; included by the root Makefile.
.PHONY: soak soak-recovery soak-config soak-cut-off soak-drills soak-parts soak-provoked soak-versions
SEEDS ?= 1-50

soak: ## run real gateways under faults for the seeds A-B, about 25 s each; VMS: the number of gateways
	SPRINGWEIR_SOAK_SEEDS=$(SEEDS) SPRINGWEIR_SOAK_VMS=$(VMS) go test ./platform/soak -run 'TestSoak$$' -count=1 -v -timeout 2h

soak-config: ## change the configuration beside disturbed ways to the store for the seeds A-B; VMS: the number of gateways
	SPRINGWEIR_SOAK_CONFIG=$(SEEDS) SPRINGWEIR_SOAK_VMS=$(VMS) go test ./platform/soak -run TestSoakConfiguration -count=1 -v -timeout 2h

soak-drills: ## only restore the store from backups, for the seeds A-B
	SPRINGWEIR_SOAK_DRILLS=$(SEEDS) go test ./platform/soak -run TestSoakDrills -count=1 -v -timeout 2h

soak-parts: ## send requests with parts of prompts that crash engines, beside disturbed gateways, for the seeds A-B
	SPRINGWEIR_SOAK_PARTS=$(SEEDS) go test ./platform/soak -run TestSoakParts -count=1 -v -timeout 2h

soak-provoked: ## send requests that crash endpoints at the worst moments, for the seeds A-B
	SPRINGWEIR_SOAK_PROVOKED=$(SEEDS) go test ./platform/soak -run TestSoakProvoked -count=1 -v -timeout 2h

soak-versions: ## play software versions side by side for the seeds A-B; OLDER: the gateway of an older build
	SPRINGWEIR_SOAK_VERSIONS=$(SEEDS) SPRINGWEIR_SOAK_OLDER=$(OLDER) go test ./platform/soak -run TestSoakVersions -count=1 -v -timeout 3h

soak-recovery: ## kill all gateways at once, beside what may keep a start from serving, for the seeds A-B; VMS: the number of gateways
	SPRINGWEIR_SOAK_RECOVERY=$(SEEDS) SPRINGWEIR_SOAK_VMS=$(VMS) go test ./platform/soak -run TestSoakRecovery -count=1 -v -timeout 2h

soak-cut-off: ## cut gateways off from all endpoints, beside troubles of the others, for the seeds A-B
	SPRINGWEIR_SOAK_CUT_OFF=$(SEEDS) go test ./platform/soak -run TestCutOffVMsAskOthersThatHelp -count=1 -v -timeout 3h

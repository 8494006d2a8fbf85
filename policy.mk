# Simulation of the policies in virtual time; included by the root Makefile.
.PHONY: policy policy-plots policy-reservations

policy: ## print one POLICY line for each trace, policy and seed
	$(GO) run ./cmd/springweir-policy

policy-plots: ## the same, and regenerate docs/plots/
	$(GO) run ./cmd/springweir-policy --plots docs/plots

policy-reservations: ## compare the methods to compensate for late load reports
	$(GO) run ./cmd/springweir-policy --experiment reservations

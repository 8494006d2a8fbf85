// Package usagepb contains the generated messages and service of package usage.
package usagepb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-twirp=$(go tool -n protoc-gen-twirp) --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative usage.proto"

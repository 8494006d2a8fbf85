// Package feedpb holds the generated messages and twirp code of the protocol by which the VMs of
// a zone read tables from each other.
package feedpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-twirp=$(go tool -n protoc-gen-twirp) --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative feed.proto"

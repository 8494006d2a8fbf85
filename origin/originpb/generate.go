// Package originpb holds the generated messages and twirp code of the protocol by which the VMs ask each
// other which software began a stream.
package originpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-twirp=$(go tool -n protoc-gen-twirp) --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative origin.proto"

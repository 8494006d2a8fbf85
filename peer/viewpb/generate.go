// Package viewpb holds the generated messages and twirp code of the protocol by which an
// entry VM reports its view to controllers and other zones.
package viewpb

//go:generate go build -o ../../bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
//go:generate protoc -I . --plugin=../../bin/protoc-gen-go --plugin=../../bin/protoc-gen-twirp --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative view.proto

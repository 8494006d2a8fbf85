// Package operatorpb is the generated code of the protocol between springweirctl and the
// controllers. Package operator implements it.
package operatorpb

//go:generate go build -o ../../bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
//go:generate protoc -I . --plugin=../../bin/protoc-gen-go --plugin=../../bin/protoc-gen-twirp --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative operator.proto

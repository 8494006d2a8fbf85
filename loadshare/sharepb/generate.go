// Package sharepb holds the messages of package loadshare. It is generated.
package sharepb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) -I. -I../../duties/usage/usagepb --go_out=. --go_opt=paths=source_relative share.proto"

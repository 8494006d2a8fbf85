// Package sharepb contains the generated messages of package loadshare.
package sharepb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) -I. -I../../duties/usage/usagepb --go_out=. --go_opt=paths=source_relative share.proto"

// Package wire holds the messages between tanagerroad's own processes and the
// records that control instances replicate and keep. It is generated from
// wire.proto and holds no behaviour; the packages that use a message say what
// it means.
package wire

//go:generate protoc --go_out=../.. --go_opt=module=tanagerroad --go-grpc_out=../.. --go-grpc_opt=module=tanagerroad -I ../.. core/wire/wire.proto

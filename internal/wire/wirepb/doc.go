// Package wirepb holds the protobuf messages that the processes of pomelowheel exchange. It is generated from
// wire.proto; use package wire to read and write the messages.
package wirepb

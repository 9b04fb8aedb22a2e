// Package wirepb holds the generated protobuf messages of package wire.
package wirepb

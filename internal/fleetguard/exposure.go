package fleetguard

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParts bounds the parts of a prompt that are considered, the first ones.
	maxParts = 15
	// maxNameBytes bounds the names that are kept and sent to other gateways. Longer ones are replaced by their hash.
	maxNameBytes = 64
)

// Exposure is what a server was exposed to by one request.
type Exposure struct {
	RequestID string
	Model     string   // base model, or empty
	Parts     []string // IDs of the parts of the prompt, in order, without the last one, which is the request's own
	Session   string   // ID of the last part
}

// NewExposure returns the exposure to a request, given the IDs of all parts of its prompt. It takes over the slice.
func NewExposure(requestID, model string, parts []string) Exposure {
	e := Exposure{RequestID: bounded(requestID), Model: bounded(model)}
	if len(parts) == 0 {
		return e
	}
	last := len(parts) - 1
	e.Session = bounded(parts[last])
	e.Parts = parts[:min(last, maxParts)]
	for i, part := range e.Parts {
		e.Parts[i] = bounded(part)
	}
	return e
}

// bounded returns a name, or its hash if it is too long.
func bounded(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	return "#" + strconv.FormatUint(xxhash.Sum64String(name), 16)
}

// Feature is a property of a request that may make servers end: a part of its prompt, for one model or for all.
type Feature struct {
	Model string // empty for all models
	Part  string
}

// String returns the part, and the model if there is one.
func (f Feature) String() string {
	if f.Model == "" {
		return f.Part
	}
	return f.Part + " with model " + f.Model
}

// covers reports whether each request with the other feature has this one.
func (f Feature) covers(other Feature) bool {
	return f == other || f.Model == "" && f.Part == other.Part
}

// mayReplace reports whether the feature may be blamed for what others are blamed for now, none or special cases of it.
func (f Feature) mayReplace(blamed []Feature) bool {
	if len(blamed) == 0 {
		return true
	}
	return slices.ContainsFunc(blamed, func(b Feature) bool { return f != b && f.covers(b) })
}

// coverAll reports whether each request with all of the other features has all of these.
func coverAll(features, others []Feature) bool {
	return !slices.ContainsFunc(features, func(f Feature) bool { return !slices.ContainsFunc(others, f.covers) })
}

// in reports whether the request has the feature.
func (f Feature) in(e *Exposure) bool {
	return (f.Model == "" || f.Model == e.Model) && slices.Contains(e.Parts, f.Part)
}

// features calls yield for each feature of the request, one that occurs twice also twice.
func (e *Exposure) features(yield func(Feature)) {
	for _, part := range e.Parts {
		yield(Feature{"", part})
		if e.Model != "" {
			yield(Feature{e.Model, part})
		}
	}
}

// hasAll reports whether the request has all of the features.
func (e *Exposure) hasAll(features []Feature) bool {
	for _, f := range features {
		if !f.in(e) {
			return false
		}
	}
	return true
}

// clone returns a copy that shares no memory with the request that e was made from.
func (e Exposure) clone() Exposure {
	e.RequestID, e.Model, e.Session = strings.Clone(e.RequestID), strings.Clone(e.Model), strings.Clone(e.Session)
	e.Parts = slices.Clone(e.Parts)
	for i, part := range e.Parts {
		e.Parts[i] = strings.Clone(part)
	}
	return e
}

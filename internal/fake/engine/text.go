package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"
)

// Bounds of the length that is derived from a prompt without "tokens:N", in tokens.
const (
	minTokens  = 8
	spanTokens = 56
)

const maxTokens = 1 << 16 // bounds "tokens:N"

var syllables = []string{"ba", "ke", "li", "mo", "nu", "ra", "se", "ti", "vo", "zu", "da", "fe", "gi", "ho", "pu", "wa"}

var lengthPattern = regexp.MustCompile(`tokens:(\d+)`)

// Text is the whole text that the engine generates for one prompt.
type Text struct {
	seed   [sha256.Size]byte
	Length int // tokens
}

// NewText returns the text for a model and a prompt.
func NewText(model, prompt string) Text {
	t := Text{seed: sha256.Sum256([]byte(model + "\x00" + prompt))}
	t.Length = minTokens + int(binary.BigEndian.Uint32(t.seed[:])%spanTokens)
	if m := lengthPattern.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			t.Length = min(n, maxTokens)
		}
	}
	return t
}

// Token returns token i, with a leading space unless it is the first one.
func (t Text) Token(i int) string {
	var input [sha256.Size + 8]byte
	copy(input[:], t.seed[:])
	binary.BigEndian.PutUint64(input[sha256.Size:], uint64(i))
	sum := sha256.Sum256(input[:])
	var b strings.Builder
	if i > 0 {
		b.WriteByte(' ')
	}
	for _, s := range sum[:2+sum[31]%2] {
		b.WriteString(syllables[int(s)%len(syllables)])
	}
	return b.String()
}

// Slice returns tokens from up to but excluding to as one string.
func (t Text) Slice(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(t.Token(i))
	}
	return b.String()
}

// Offset returns how many tokens already holds, and whether it is a prefix of the text at a token
// boundary.
func (t Text) Offset(already string) (tokens int, ok bool) {
	n := len(strings.Fields(already))
	return n, n <= t.Length && t.Slice(0, n) == already
}

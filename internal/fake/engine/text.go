package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"
)

// Range of the text length that is derived from the hash of a prompt without "tokens:N", in tokens.
const (
	minDerivedTokens   = 8
	derivedTokensRange = 56
)

const maxPromptedTokens = 1 << 16 // upper limit of N in "tokens:N"

var syllables = []string{"ba", "ke", "li", "mo", "nu", "ra", "se", "ti", "vo", "zu", "da", "fe", "gi", "ho", "pu", "wa"}

var lengthPattern = regexp.MustCompile(`tokens:(\d+)`)

// Text is the complete text that the engine generates for one model and prompt.
type Text struct {
	seed   [sha256.Size]byte
	Length int // tokens
}

// NewText returns the text for a model and a prompt. "tokens:N" in the prompt sets its length.
func NewText(model, prompt string) Text {
	t := Text{seed: sha256.Sum256([]byte(model + "\x00" + prompt))}
	t.Length = minDerivedTokens + int(binary.BigEndian.Uint32(t.seed[:])%derivedTokensRange)
	if m := lengthPattern.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			t.Length = min(n, maxPromptedTokens)
		}
	}
	return t
}

// Token returns token i, counted from 0, with a leading space unless it is the first one.
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

// Slice returns the tokens [from, to) as one string.
func (t Text) Slice(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(t.Token(i))
	}
	return b.String()
}

// Offset returns the number of tokens in generated, and whether generated is a prefix of the text that ends at a
// token boundary.
func (t Text) Offset(generated string) (tokens int, ok bool) {
	n := len(strings.Fields(generated))
	return n, n <= t.Length && t.Slice(0, n) == generated
}

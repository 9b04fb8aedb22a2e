package operator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	maxLineBytes    = 1 << 20
	maxExplainLines = 10000
)

// LogLine is one log line about a request. Line counts from 1.
type LogLine struct {
	File string    `json:"file"`
	Line int       `json:"line"`
	At   time.Time `json:"at"` // zero if the line has no time
	Text string    `json:"text"`
}

func runExplain(ctx context.Context, inv *invocation) error {
	if len(inv.args) != 1 || inv.args[0] == "" || len(inv.opts.logs) == 0 {
		return usagef("one request ID and -logs are expected")
	}
	found := []LogLine{}
	for _, path := range inv.opts.logs {
		lines, err := explainFile(ctx, path, inv.args[0])
		if err != nil {
			return err
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b LogLine) int { return a.At.Compare(b.At) })
	if len(found) == 0 {
		return fmt.Errorf("no line about request %q in the given logs; use the whole X-Request-Id of the answer, "+
			"which extends an ID that the caller chose", inv.args[0])
	}
	for _, l := range found {
		inv.out.linef("%s:%d: %s", l.File, l.Line, l.Text)
	}
	return inv.out.document(found)
}

func explainFile(ctx context.Context, path, requestID string) ([]LogLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usagef("%v", err)
	}
	defer func() { _ = file.Close() }()
	lines, err := ExplainLines(ctx, file, requestID)
	for i := range lines {
		lines[i].File = path
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	return lines, nil
}

// ExplainLines returns the lines of r that contain requestID as a whole word, without their file name. A line over 1 MiB or
// more than 10000 matching lines are an error, returned with the lines found before it.
func ExplainLines(ctx context.Context, r io.Reader, requestID string) ([]LogLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var found []LogLine
	for number := 1; scanner.Scan(); number++ {
		if ctx.Err() != nil {
			return found, ctx.Err()
		}
		text := scanner.Text()
		if !containsWord(text, requestID) {
			continue
		}
		if len(found) == maxExplainLines {
			return found, errors.New("too many lines about one request in one log")
		}
		found = append(found, LogLine{Line: number, At: lineTime(text), Text: text})
	}
	return found, scanner.Err()
}

// containsWord reports whether text contains word with no ASCII letter, digit, '-' or '_' next to it.
func containsWord(text, word string) bool {
	if word == "" {
		return false
	}
	for from := 0; ; {
		i := strings.Index(text[from:], word)
		if i < 0 {
			return false
		}
		start, end := from+i, from+i+len(word)
		before, _ := utf8.DecodeLastRuneInString(text[:start])
		after, _ := utf8.DecodeRuneInString(text[end:])
		if (start == 0 || !isWordRune(before)) && (end == len(text) || !isWordRune(after)) {
			return true
		}
		from = start + 1
	}
}

func isWordRune(r rune) bool {
	return r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
}

// lineTime returns the time attribute of a line in the text or JSON format of log/slog, or zero if it has none.
func lineTime(text string) time.Time {
	var at string
	if strings.HasPrefix(text, "{") {
		var line struct{ Time string }
		if json.Unmarshal([]byte(text), &line) == nil {
			at = line.Time
		}
	} else if _, rest, ok := strings.Cut(text, "time="); ok {
		at, _, _ = strings.Cut(rest, " ")
	}
	t, err := time.Parse(time.RFC3339Nano, at)
	if err != nil {
		return time.Time{}
	}
	return t
}

package report

import (
	"fmt"
	"html"
	"io"
	"strings"
)

// Size of a plot in pixels.
const (
	plotWidth  = 960
	plotHeight = 320
	plotMargin = 40
)

// SVG plots the counts by second of arrival and the events of the scenario. It returns an error if writing fails.
func (r *Report) SVG(w io.Writer) error {
	top := 1
	for _, s := range r.Series {
		top = max(top, s.Offered)
	}
	x := func(second float64) float64 {
		return plotMargin + second*(plotWidth-2*plotMargin)/float64(max(len(r.Series), 1))
	}
	y := func(n int) float64 {
		return plotHeight - plotMargin - float64(n)*(plotHeight-2*plotMargin)/float64(top)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth, plotHeight)
	fmt.Fprintf(&b, `<text x="%d" y="16">%s, seed %d: requests by second of arrival, up to %d</text>`+"\n",
		plotMargin, html.EscapeString(r.Scenario), r.Seed, top)
	for i, line := range []struct {
		name, colour string
		value        func(Second) int
	}{
		{"offered", "#bbbbbb", func(s Second) int { return s.Offered }},
		{"met", "#1b7837", func(s Second) int { return s.Met }},
		{"late", "#e08214", func(s Second) int { return s.Late }},
		{"refused within rate", "#b2182b", func(s Second) int { return s.RefusedWithinRate }},
		{"lost", "#542788", func(s Second) int { return s.Lost }},
	} {
		var points []string
		for second, s := range r.Series {
			points = append(points, fmt.Sprintf("%.1f,%.1f", x(float64(second)), y(line.value(s))))
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", line.colour, strings.Join(points, " "))
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+i*140, plotHeight-8, line.colour, line.name)
	}
	for _, e := range r.Events {
		fmt.Fprintf(&b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#888888" stroke-dasharray="3"><title>%s</title></line>`+"\n",
			x(e.At), x(e.At), plotMargin, plotHeight-plotMargin, html.EscapeString(e.Text))
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// Command order checks the streams that callers got. Its arguments are files with the records of callers and of replicas. Where a stream
// changes from one run to another, the other run must go on at the piece after the last one that the caller had: the replica was sent
// its number in Last-Event-Id. It exits with 1 if that does not hold for a stream, or if a piece is missing or comes twice. With -twice
// it exits with 1 instead if a replica still worked on a request 400 ms after the request went on at another replica.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
)

type line struct {
	Run     string
	Request string
	Begun   int64   `json:"begun_ms"` // when the run had its first token, or 0
	End     int64   `json:"end_ms"`
	LastID  *string `json:"last_event_id"`
	Stream  string
	Pieces  []struct {
		Run         string
		First, Last int
	}
}

// overlap is the longest time in ms for which two replicas may work on a request after it went on at the second one.
const overlap = 400

func main() {
	twice := flag.Bool("twice", false, "check how long two replicas work on a request")
	flag.Parse()
	byRequest := make(map[string][]line)
	runs := make(map[string]string) // Last-Event-Id by run
	var streams []line
	for _, name := range flag.Args() {
		file, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, "order:", err)
			os.Exit(2)
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var l line
			switch err := json.Unmarshal(lines.Bytes(), &l); {
			case err != nil: // a line of another kind
			case l.LastID != nil:
				runs[l.Run] = *l.LastID
				byRequest[l.Request] = append(byRequest[l.Request], l)
			case l.Stream != "":
				streams = append(streams, l)
			}
		}
		_ = file.Close()
	}
	if *twice {
		checkTwice(byRequest)
	}
	changed, wrong, anew := 0, 0, 0
	for _, s := range streams {
		for i, p := range s.Pieces {
			if i == 0 {
				if p.First != 0 {
					wrong++
					fmt.Printf("stream %s begins with piece %d\n", s.Stream, p.First)
				}
				continue
			}
			before := s.Pieces[i-1]
			if before.Run != p.Run {
				changed++
			}
			lastID, known := runs[p.Run]
			switch {
			case p.First != before.Last+1:
				wrong++
				fmt.Printf("stream %s: piece %d of run %s follows piece %d of run %s\n", s.Stream, p.First, p.Run, before.Last, before.Run)
			case before.Run == p.Run:
			case !known:
				fmt.Printf("stream %s: no record of run %s\n", s.Stream, p.Run)
			case lastID == "":
				wrong++
				anew++
				fmt.Printf("stream %s: piece %d of run %s, which began anew without Last-Event-Id, is joined to piece %d of run %s\n",
					s.Stream, p.First, p.Run, before.Last, before.Run)
			case lastID != strconv.Itoa(before.Last):
				wrong++
				fmt.Printf("stream %s: piece %d of run %s, which was sent Last-Event-Id %q, is joined to piece %d of run %s\n",
					s.Stream, p.First, p.Run, lastID, before.Last, before.Run)
			}
		}
	}
	fmt.Printf("%d streams, %d changes to another run, %d of them or of the pieces wrong, %d of these to a run that began anew\n",
		len(streams), changed, wrong, anew)
	if len(streams) == 0 {
		os.Exit(2)
	}
	if wrong > 0 {
		os.Exit(1)
	}
}

// checkTwice checks the runs of each request, and ends the program.
func checkTwice(byRequest map[string][]line) {
	several, wrong := 0, 0
	for request, list := range byRequest {
		for _, before := range list {
			for _, next := range list {
				if before.Begun == 0 || next.Begun <= before.Begun {
					continue
				}
				several++
				if late := before.End - next.Begun; late > overlap {
					wrong++
					fmt.Printf("request %s went on in run %s (Last-Event-Id %q); run %s was still at work on it %d ms later\n",
						request, next.Run, *next.LastID, before.Run, late)
				}
			}
		}
	}
	fmt.Printf("%d requests, %d second runs, beside %d of them the first one went on for over %d ms\n", len(byRequest), several, wrong, overlap)
	if wrong > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

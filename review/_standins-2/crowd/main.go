// Command crowd is a stand-in for clients of the fleet's gateways. It prints one JSON line for each thing that a client sees.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

var (
	mode    = flag.String("mode", "", "`KIND` of clients: streams, ahead, trickle, adapters, readers or bookings")
	gateway = flag.String("gateway", "", "`ADDRESS` (IP:port) for callers")
	host    = flag.String("host", "crew.example", "Host header")
	key     = flag.String("key", "", "API key")
	clients = flag.Int("clients", 1, "connections at the same time")
	ahead   = flag.Int("requests", 1, "requests on each connection")
	head    = flag.Int("head", 0, "bytes of a request's head; 0 for an ordinary one")
	length  = flag.Duration("for", 10*time.Second, "time after which the clients leave")
	pause   = flag.Duration("pause", 700*time.Millisecond, "time between two bytes of a slow client")
	started = time.Now()
	printMu sync.Mutex
)

func record(fields map[string]any) {
	fields["at_ms"] = time.Since(started).Milliseconds()
	line, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	printMu.Lock()
	defer printMu.Unlock()
	fmt.Println(string(line))
}

func main() {
	flag.Parse()
	var all sync.WaitGroup
	outcomes := make(map[string]int)
	var mu sync.Mutex
	for i := range *clients {
		all.Go(func() {
			var got map[string]int
			switch *mode {
			case "streams":
				got = streamClient(i)
			case "ahead":
				got = aheadClient(i)
			case "trickle":
				got = trickleClient(i)
			case "adapters":
				got = adapterClient(i)
			case "readers":
				got = readerClient(i)
			case "bookings":
				got = bookingClient(i)
			default:
				fmt.Fprintln(os.Stderr, "crowd: unknown mode", *mode)
				os.Exit(2)
			}
			mu.Lock()
			defer mu.Unlock()
			for k, n := range got {
				outcomes[k] += n
			}
		})
		if i%50 == 49 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	all.Wait()
	record(map[string]any{"clients": *mode, "outcomes": outcomes})
}

// streamHead returns the head of a request for a stream. Beyond an ordinary prompt of three parts it has as many short parts as fit
// into the head.
func streamHead(id string, size int) string {
	base := fmt.Sprintf("POST /chat/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\n"+
		"X-Model: brush-small\r\nX-Token-Usage: 60,30\r\nContent-Length: 2\r\nX-Prompt-Prefix: ", *host, *key, id)
	const end = "\r\n\r\n"
	prompt := "5c1e07a2:40,91bd3f06:10," + id + ":10"
	if size > 0 {
		prompt = id + ":60"
		prompt += strings.Repeat(",0:0", (size-len(base)-len(end)-len(prompt))/4)
	}
	return base + prompt + end
}

// streamClient requests one stream and reads it slowly enough to be an ordinary reader of its events.
func streamClient(i int) map[string]int {
	id := fmt.Sprintf("%x%06x", os.Getpid(), i)
	conn, err := net.DialTimeout("tcp", *gateway, time.Second)
	if err != nil {
		return map[string]int{"not connected": 1}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(started.Add(*length))
	if _, err := io.WriteString(conn, streamHead(id, *head)+"{}"); err != nil {
		return map[string]int{"not sent": 1}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return map[string]int{"no answer": 1}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	outcome := fmt.Sprint(resp.StatusCode)
	if err != nil {
		outcome += " cut"
	}
	return map[string]int{outcome: 1}
}

// aheadClient sends all its requests ahead and reads no answer before that. Each asks for another model.
func aheadClient(i int) map[string]int {
	conn, err := net.DialTimeout("tcp", *gateway, time.Second)
	if err != nil {
		return map[string]int{"not connected": 1}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(started.Add(*length))
	sent := 0
	w := bufio.NewWriterSize(conn, 64<<10)
	for n := range *ahead {
		id := fmt.Sprintf("%x%04x%06x", os.Getpid(), i, n)
		model := "brush-small"
		base := fmt.Sprintf("POST /chat/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n"+
			"X-Token-Usage: 6,2\r\nContent-Length: 2\r\nX-Model: ", *host, *key, id)
		if *head > 0 {
			model = id + strings.Repeat("m", max(0, *head-len(base)-len(id)-4))
		}
		if _, err := io.WriteString(w, base+model+"\r\n\r\n{}"); err != nil {
			break
		}
		sent++
	}
	_ = w.Flush()
	got := map[string]int{"sent": sent}
	r := bufio.NewReader(conn)
	for range sent {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			got["no answer"]++
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			got["cut"]++
			break
		}
		got[fmt.Sprint(resp.StatusCode)]++
	}
	return got
}

// bookingClient is an ordinary caller: it books four times a second on a new connection each.
func bookingClient(i int) map[string]int {
	got := make(map[string]int)
	for n := 0; time.Since(started) < *length; n++ {
		id := fmt.Sprintf("b%x%02x%06x", os.Getpid(), i, n)
		began := time.Now()
		outcome := book(id)
		got[outcome]++
		record(map[string]any{"booking": id, "client": i, "outcome": outcome, "took_ms": time.Since(began).Milliseconds()})
		time.Sleep(250 * time.Millisecond)
	}
	return got
}

func book(id string) string {
	conn, err := net.DialTimeout("tcp", *gateway, time.Second)
	if err != nil {
		return "not connected"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /book/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\n"+
		"X-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{}", *host, *key, id); err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprint(resp.StatusCode, " cut")
	}
	return fmt.Sprint(resp.StatusCode)
}

// trickleClient sends the body of a request byte by byte, one every pause, and begins again when its connection ends. With head zero
// it sends the body in one piece, and again some time after the answer.
func trickleClient(i int) map[string]int {
	got := make(map[string]int)
	for n := 0; time.Since(started) < *length; n++ {
		got[trickle(fmt.Sprintf("%x%04x%04x", os.Getpid(), i, n))]++
		if *head == 0 {
			time.Sleep(7 * *pause)
		} else {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return got
}

func trickle(id string) string {
	const body = 600
	conn, err := net.DialTimeout("tcp", *gateway, time.Second)
	if err != nil {
		return "not connected"
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST /chat/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\n"+
		"X-Deadline-Ms: 12000\r\nX-Model: brush-small\r\nX-Token-Usage: 60,30\r\nContent-Length: %d\r\n\r\n", *host, *key, id, body); err != nil {
		return "not sent"
	}
	if *head == 0 {
		if _, err := io.WriteString(conn, strings.Repeat("x", body)); err != nil {
			return "closed"
		}
		_ = conn.SetReadDeadline(time.Now().Add(12 * time.Second))
		if _, err := conn.Read(make([]byte, 512)); err != nil {
			return "no answer"
		}
		return "answered"
	}
	for range body {
		_ = conn.SetReadDeadline(time.Now().Add(*pause))
		if _, err := conn.Read(make([]byte, 512)); err == nil {
			return "answered"
		} else if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			return "closed"
		}
		if time.Since(started) > *length {
			return "left"
		}
		if _, err := io.WriteString(conn, "x"); err != nil {
			return "closed"
		}
	}
	return "whole"
}

// adapterClient is an ordinary caller that requests a stream of one of 16 adapters every pause.
func adapterClient(i int) map[string]int {
	got := make(map[string]int)
	for n := 0; time.Since(started) < *length; n++ {
		id := fmt.Sprintf("a%x%02x%06x", os.Getpid(), i, n)
		got[stream(id, fmt.Sprintf("brush-small/a%d", rand.N(16)+1))]++
		time.Sleep(*pause)
	}
	return got
}

func stream(id, model string) string {
	conn, err := net.DialTimeout("tcp", *gateway, time.Second)
	if err != nil {
		return "not connected"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /chat/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\n"+
		"X-Deadline-Ms: 4000\r\nX-Model: %s\r\nX-Token-Usage: 60,30\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:10,%s:10\r\nContent-Length: 2\r\n\r\n{}",
		*host, *key, id, model, id); err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprint(resp.StatusCode, " cut")
	}
	return fmt.Sprint(resp.StatusCode)
}

// readerClient is an ordinary caller that requests a stream every pause and prints which pieces of which runs it got.
func readerClient(i int) map[string]int {
	got := make(map[string]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for n := 0; time.Since(started) < *length; n++ {
		id := fmt.Sprintf("r%x%02x%06x", os.Getpid(), i, n)
		all.Go(func() {
			outcome, pieces := readStream(id)
			record(map[string]any{"stream": id, "outcome": outcome, "pieces": pieces})
			mu.Lock()
			defer mu.Unlock()
			got[outcome]++
		})
		time.Sleep(*pause)
	}
	all.Wait()
	return got
}

// segment is a sequence of pieces of one run that a caller got one after the other.
type segment struct {
	Run   string `json:"run"`
	First int    `json:"first"`
	Last  int    `json:"last"`
}

func readStream(id string) (outcome string, pieces []segment) {
	conn, err := net.DialTimeout("tcp", *gateway, time.Second)
	if err != nil {
		return "not connected", nil
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /chat/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\n"+
		"X-Deadline-Ms: 12000\r\nX-Model: brush-small\r\nX-Token-Usage: 826,294\r\nX-Prompt-Prefix: 5c1e07a2:119,91bd3f06:79,%s:628\r\n"+
		"Content-Length: 2\r\n\r\n{}", *host, *key, id, id); err != nil {
		return "not sent", nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer", nil
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var p struct {
			Run   string
			Piece int
		}
		if err := json.Unmarshal([]byte(data), &p); err != nil {
			return "not an event: " + data, pieces
		}
		if last := len(pieces) - 1; last >= 0 && pieces[last].Run == p.Run && pieces[last].Last+1 == p.Piece {
			pieces[last].Last = p.Piece
			continue
		}
		pieces = append(pieces, segment{p.Run, p.Piece, p.Piece})
	}
	if lines.Err() != nil {
		return fmt.Sprint(resp.StatusCode, " cut"), pieces
	}
	return fmt.Sprint(resp.StatusCode), pieces
}

package rawserver

import "fmt"

// MalformedHeads returns heads of responses that clients must refuse, by what is wrong with them. They contain the given fields, each of
// which ends with a line break, and end with the empty line. A body of four bytes follows.
func MalformedHeads(fields string) map[string]string {
	const length = "Content-Length: 4\r\n"
	heads := make(map[string]string)
	for _, status := range []string{"000", "099", "600", "999", "+20", "0200", "20"} {
		heads["status "+status] = "HTTP/1.1 " + status + " Trouble\r\n" + fields + length + "\r\n"
	}
	heads["status 000 after an interim response"] = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble\r\n" + fields +
		length + "\r\n"
	for _, line := range []string{
		"X Note: a", "X-Note : a", "X-Note\t: a", " X-Note: a", "\tX-Note: a", "X\tNote: a", "X\rNote: a", "X\x00Note: a", "X\x01Note: a",
		"X\x1fNote: a", "X\x7fNote: a", "X\x80Note: a", ": a", "X-Note", " ",
	} {
		heads[fmt.Sprintf("field %q", line)] = "HTTP/1.1 200 OK\r\n" + fields + "X-Before: b\r\n" + line + "\r\n" + length + "\r\n"
	}
	// What tells the end of the body is hidden from net/http.
	heads["hidden length"] = "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\nContent-Length : 4\r\n\r\n"
	heads["hidden chunks"] = "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\nX-Before: b\r\n Transfer-Encoding: chunked\r\n\r\n"
	heads["field of the first line"] = "HTTP/1.1 200 OK\r\n X-Note: a\r\n" + fields + length + "\r\n"
	heads["field of an interim response"] = "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length + "\r\n"
	return heads
}

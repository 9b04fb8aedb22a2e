package rawserver

// MalformedHeads returns heads of responses that clients must refuse, by what is wrong with them. They contain the given fields, each of
// which ends with a line break, and end with the empty line. A body of four bytes follows.
func MalformedHeads(fields string) map[string]string {
	heads := make(map[string]string)
	for _, status := range []string{"000", "099", "600", "999", "+20", "0200", "20"} {
		heads["status "+status] = "HTTP/1.1 " + status + " Trouble\r\n" + fields + "Content-Length: 4\r\n\r\n"
	}
	heads["status 000 after an interim response"] = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble\r\n" + fields +
		"Content-Length: 4\r\n\r\n"
	return heads
}

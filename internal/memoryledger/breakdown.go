package memoryledger

// Breakdown is the breakdown of the accelerator's memory by use, in mebibytes. Total equals the sum of the other
// fields; Free is negative if the engine holds more than the total.
type Breakdown struct {
	Total       int64 `json:"total"`
	Models      int64 `json:"models"`      // models and adapters that the engine has reported
	Loading     int64 `json:"loading"`     // reserved for models and adapters that the engine has not reported
	KV          int64 `json:"kv"`          // KV cache of running requests
	Unconfirmed int64 `json:"unconfirmed"` // KV cache of ended requests that the engine may still hold
	Unknown     int64 `json:"unknown"`     // used memory that is not accounted for
	Free        int64 `json:"free"`
}

// Breakdown returns the current breakdown of the memory.
func (l *Ledger) Breakdown() Breakdown {
	f := Breakdown{Total: l.total, Free: l.Free(), Unknown: l.unknown}
	for _, entries := range []map[string]*entry{l.models, l.adapters} {
		for _, e := range entries {
			if e.reported > 0 {
				f.Models += e.mb()
			} else {
				f.Loading += e.mb()
			}
		}
	}
	for _, r := range l.running {
		f.KV += r.mb
	}
	for _, r := range l.ended {
		f.Unconfirmed += r.mb
	}
	return f
}

// AdapterMB returns the memory of all adapters in mebibytes, including those whose unload is not confirmed.
func (l *Ledger) AdapterMB() int64 {
	var sum int64
	for _, e := range l.adapters {
		sum += e.mb()
	}
	return sum
}

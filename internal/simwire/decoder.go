package simwire

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"knotrouter/policy"
)

// Kind is the kind of a Record.
type Kind uint8

// The kinds of records, each with the fields of Record that it sets.
const (
	Boot   Kind = iota + 1 // Instance, Seed, Settings
	Killed                 // Instance
	Event                  // Instance, Event
)

// Record is a decoded event record of a batch, with the entries of a list in place of its number.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings []byte
	Event    policy.Event
}

// Decoder reads batches from a stream. It stores the numbered server lists, which belong to the process
// and are shared, read-only, by all instances. It is not safe for concurrent use.
type Decoder struct {
	r     io.Reader
	buf   []byte // the body of the current batch
	lists [serverListCount][]policy.Entry
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next reads one batch and calls fn with the batch's clock, in ms, for each record in order. The record
// and its Settings are valid only during the call. Next returns the first error of fn. Its other errors are:
//   - io.EOF, not wrapped, if the input ends between two batches;
//   - an error that is or wraps a *FormatError if the batch violates the format;
//   - an error that wraps the reader's error, which may be io.EOF, if the batch is truncated.
func (d *Decoder) Next(fn func(now float64, rec *Record) error) error {
	count, err := d.readFrame()
	if err != nil {
		return err
	}
	now := getF64(d.buf)
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return formatError("batch header", "clock: not a finite number")
	}
	records := d.buf[clockSize : clockSize+count*EventSize]
	tail := d.buf[clockSize+len(records):]
	var rec Record
	for i := range count {
		rec = Record{}
		raw := records[i*EventSize : (i+1)*EventSize]
		if err := d.decode(raw, tail, &rec); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if rec.Kind == 0 {
			continue // a server list, which is stored and is not an event
		}
		if err := fn(now, &rec); err != nil {
			return err
		}
	}
	return nil
}

// readFrame reads the next frame into d.buf, without its header, and returns its number of records.
func (d *Decoder) readFrame() (count int, err error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(d.r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("batch header: truncated: %w", err)
	}
	records, size := binary.BigEndian.Uint32(header[:4]), binary.BigEndian.Uint32(header[4:])
	if size < clockSize || size > maxFrameSize {
		return 0, formatError("batch header", "length: %d is out of range", size)
	}
	if uint64(records)*EventSize > uint64(size)-clockSize {
		return 0, formatError("batch header", "number of records: %d do not fit into %d bytes", records, size)
	}
	return int(records), d.readBody(int(size))
}

// readBody reads size bytes into d.buf in steps, so that a wrong length allocates at most about twice the
// bytes that arrive.
func (d *Decoder) readBody(size int) error {
	const step = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(step, size-len(d.buf))
		at := len(d.buf)
		if cap(d.buf) < at+n {
			d.buf = append(d.buf, make([]byte, n)...)
		}
		d.buf = d.buf[:at+n]
		if _, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			return fmt.Errorf("batch: truncated at %d of %d bytes: %w", at, size, err)
		}
	}
	return nil
}

// decode decodes one record into rec. A server list is stored instead, and leaves rec.Kind 0.
func (d *Decoder) decode(raw, tail []byte, rec *Record) (err error) {
	be := binary.BigEndian
	rec.Kind, rec.Instance = Event, be.Uint32(raw[1:])
	ev := &rec.Event
	switch raw[0] {
	case codeBoot:
		rec.Kind, rec.Seed = Boot, be.Uint64(raw[5:])
		rec.Settings, err = sliceTail("boot: settings", raw[13:], tail, 1)
	case codeKilled:
		rec.Kind = Killed
	case codeServerList:
		rec.Kind = 0
		err = d.decodeServerList(raw, tail)
	case codeListUpdate:
		err = d.decodeListUpdate(raw, ev)
	case codeRequest:
		decodeRequest(raw, ev)
	case codeOutcome:
		err = decodeOutcome(raw, ev)
	case codeResponseStarted:
		ev.Kind, ev.Request = policy.EvResponseStarted, policy.RequestID(be.Uint32(raw[5:]))
		ev.Server, ev.LatencyMs, ev.Attempt = policy.Addr(raw[9:15]), getF64(raw[15:]), int(be.Uint16(raw[23:]))
	case codeClientCanceled:
		ev.Kind, ev.Request = policy.EvClientCanceled, policy.RequestID(be.Uint32(raw[5:]))
	case codeProbeResult:
		ev.Kind, ev.Server = policy.EvProbeResult, policy.Addr(raw[5:11])
		ev.Status, ev.LatencyMs = policy.Status(be.Uint16(raw[11:])), getF64(raw[13:])
		ev.Report, err = decodeReport("health: report", raw[21:])
	case codeTimerFired:
		ev.Kind, ev.Token = policy.EvTimer, be.Uint32(raw[5:])
	case codePeerMessage:
		ev.Kind = policy.EvPeer
		_, err = sliceTail("peer_data: msg", raw[9:], tail, 1)
	default:
		err = formatError("code", "unknown event %d", raw[0])
	}
	return err
}

func decodeRequest(raw []byte, ev *policy.Event) {
	be := binary.BigEndian
	ev.Kind, ev.Request = policy.EvRequest, policy.RequestID(be.Uint32(raw[5:]))
	ev.Class, ev.Tenant = int(be.Uint16(raw[9:])), int(be.Uint32(raw[11:]))
	ev.Key = be.Uint64(raw[15:])
	ev.RemainingMs, ev.HintMs = getF64(raw[23:]), getF64(raw[31:])
	ev.HasHint, ev.Retry = raw[39]&flagHasHint != 0, raw[39]&flagRetry != 0
}

func decodeOutcome(raw []byte, ev *policy.Event) (err error) {
	be := binary.BigEndian
	ev.Kind, ev.Request = policy.EvOutcome, policy.RequestID(be.Uint32(raw[5:]))
	ev.Attempt, ev.Server = int(be.Uint16(raw[9:])), policy.Addr(raw[11:17])
	ev.Status, ev.LatencyMs = policy.Status(be.Uint16(raw[17:])), getF64(raw[19:])
	ev.Final = raw[27] != 0
	if ev.Report, err = decodeReport("verdict: report", raw[28:]); err != nil {
		return err
	}
	if ev.Status != policy.OK && (ev.Status < policy.Error || ev.Status > policy.Withdrawn) {
		return formatError("verdict: ending", "unknown value %d", ev.Status)
	}
	return nil
}

func (d *Decoder) decodeListUpdate(raw []byte, ev *policy.Event) error {
	ev.Kind, ev.List = policy.EvList, policy.ListKind(raw[5])
	if raw[5] > uint8(policy.ListFailed) {
		return formatError("targets: mode", "unknown value %d", raw[5])
	}
	if ev.List == policy.ListFailed {
		return nil // there are no entries, and the list number is not used
	}
	number := binary.BigEndian.Uint32(raw[10:])
	if int64(number) >= int64(len(d.lists)) {
		return formatError("targets: table", "%d is out of range", number)
	}
	ev.Entries = d.lists[number]
	return nil
}

// decodeServerList stores a numbered server list for the list updates that refer to it.
func (d *Decoder) decodeServerList(raw, tail []byte) error {
	be := binary.BigEndian
	number := be.Uint32(raw[1:])
	if int64(number) >= int64(len(d.lists)) {
		return formatError("pool: table", "%d is out of range", number)
	}
	entryBytes, err := sliceTail("pool: hosts", raw[5:], tail, listEntrySize)
	if err != nil {
		return err
	}
	entries := make([]policy.Entry, 0, len(entryBytes)/listEntrySize)
	for ; len(entryBytes) > 0; entryBytes = entryBytes[listEntrySize:] {
		if entryBytes[10] > uint8(policy.Gone) {
			return formatError("pool: health", "unknown value %d", entryBytes[10])
		}
		entries = append(entries, policy.Entry{
			Zone:      int(be.Uint16(entryBytes)),
			StartedMs: getF64(entryBytes[2:]),
			Health:    policy.Health(entryBytes[10]),
			Server:    policy.Addr(entryBytes[11:17]),
			Weight:    float64(math.Float32frombits(be.Uint32(entryBytes[17:]))),
			Cell:      int(be.Uint16(entryBytes[21:])),
			Kind:      int(entryBytes[23]),
		})
	}
	d.lists[number] = entries // a new slice: events that refer to the previous list keep its entries
	return nil
}

// decodeReport decodes a load report: the number of values, followed by the values.
func decodeReport(field string, raw []byte) ([]float32, error) {
	if raw[0] == 0 {
		return nil, nil
	}
	if raw[0] > maxReportValues {
		return nil, formatError(field, "%d values, at most %d", raw[0], maxReportValues)
	}
	values := make([]float32, raw[0])
	for i := range values {
		values[i] = math.Float32frombits(binary.BigEndian.Uint32(raw[1+4*i:]))
	}
	return values, nil
}

// sliceTail returns the part of the tail that a field refers to: raw has its offset, in bytes, and its length,
// in units of the given size.
func sliceTail(field string, raw, tail []byte, unit int) ([]byte, error) {
	off, n := uint64(binary.BigEndian.Uint32(raw)), uint64(binary.BigEndian.Uint32(raw[4:]))
	if off+n*uint64(unit) > uint64(len(tail)) {
		return nil, formatError(field, "offset %d and length %d exceed the tail's %d bytes", off, n, len(tail))
	}
	return tail[off : off+n*uint64(unit)], nil
}

// ParseSettings parses the JSON text of a boot record and ignores unknown keys. It returns a
// *policy.SettingError for a value of the wrong type, and does not check values otherwise.
func ParseSettings(text []byte) (policy.Settings, error) {
	var s policy.Settings
	if err := json.Unmarshal(text, &s); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			return s, &policy.SettingError{Key: mismatch.Field, Reason: "cannot be a " + mismatch.Value}
		}
		return s, fmt.Errorf("settings: no JSON: %w", err)
	}
	return s, nil
}

package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"knotrouter/policy"
)

// The tests of this file fix the simulator's wire format: its codes, the position of each field, the values
// of its enumerations and the keys of its settings. Go identifiers are not part of it and may be renamed.

var update = flag.Bool("update", false, "rewrite the golden files")

var sampleAddr = policy.Addr{1, 2, 3, 4, 5, 6}

// sampleEvents has every event of the wire format, with a distinct value in each of its fields.
var sampleEvents = []struct {
	record string // in hex, beginning with code and instance; the bytes that are left out are zero
	want   Record
}{
	{"19 00000009 0102030405060708 00000000 00000002", Record{Kind: Boot, Seed: 0x0102030405060708, Settings: []byte("{}")}},
	{"15 00000009", Record{Kind: Killed}},
	{"10 00000009 0a0b0c0d", Record{Kind: Event, Event: policy.Event{Kind: policy.EvClientCanceled, Request: 0x0a0b0c0d}}},
	{"11 00000009 0a0b0c0d 0102 00000304 0506070809101112 4059000000000000 4029000000000000 07",
		Record{Kind: Event, Event: policy.Event{Kind: policy.EvRequest, Request: 0x0a0b0c0d, Class: 0x0102, Tenant: 0x0304,
			Key: 0x0506070809101112, RemainingMs: 100, HintMs: 12.5, HasHint: true, Retry: true}}},
	{"11 00000009 0a0b0c0d 0102 00000304 0506070809101112 4059000000000000 4029000000000000 01",
		Record{Kind: Event, Event: policy.Event{Kind: policy.EvRequest, Request: 0x0a0b0c0d, Class: 0x0102, Tenant: 0x0304,
			Key: 0x0506070809101112, RemainingMs: 100, HintMs: 12.5, HasHint: true}}},
	{"11 00000009 0a0b0c0d 0102 00000304 0506070809101112 4059000000000000 4029000000000000 06",
		Record{Kind: Event, Event: policy.Event{Kind: policy.EvRequest, Request: 0x0a0b0c0d, Class: 0x0102, Tenant: 0x0304,
			Key: 0x0506070809101112, RemainingMs: 100, HintMs: 12.5, Retry: true}}},
	{"12 00000009 0a0b0c0d 0102 010203040506 012d 4029000000000000 01 04 3f800000 40000000 40400000 40800000",
		Record{Kind: Event, Event: policy.Event{Kind: policy.EvOutcome, Request: 0x0a0b0c0d, Attempt: 0x0102, Server: sampleAddr,
			Status: policy.Error, LatencyMs: 12.5, Final: true, Report: []float32{1, 2, 3, 4}}}},
	{"14 00000009 0a0b0c0d 010203040506 4029000000000000 0102", Record{Kind: Event, Event: policy.Event{Kind: policy.EvResponseStarted,
		Request: 0x0a0b0c0d, Server: sampleAddr, LatencyMs: 12.5, Attempt: 0x0102}}},
	{"16 00000009 00 0000002a 00000001", Record{Kind: Event, Event: policy.Event{Kind: policy.EvList, List: policy.ListChange, Entries: sampleEntries}}},
	{"16 00000009 01 0000002a 00000001", Record{Kind: Event, Event: policy.Event{Kind: policy.EvList, List: policy.ListFull, Entries: sampleEntries}}},
	{"16 00000009 02 0000002a 00000001", Record{Kind: Event, Event: policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: sampleEntries}}},
	{"16 00000009 03 0000002a 00000001", Record{Kind: Event, Event: policy.Event{Kind: policy.EvList, List: policy.ListFailed}}},
	{"18 00000009 010203040506 0064 4029000000000000 02 3f800000 40000000", Record{Kind: Event, Event: policy.Event{Kind: policy.EvProbeResult,
		Server: sampleAddr, Status: policy.OK, LatencyMs: 12.5, Report: []float32{1, 2}}}},
	{"1a 00000009 0a0b0c0d", Record{Kind: Event, Event: policy.Event{Kind: policy.EvTimer, Token: 0x0a0b0c0d}}},
	{"17 00000009 00000001 00000000 00000002", Record{Kind: Event, Event: policy.Event{Kind: policy.EvPeer}}},
}

// sampleEntryHex is the encoding of sampleEntries, which follows the settings in the batch's tail.
const sampleEntryHex = "0102 4059000000000000 00 010203040506 3f800000 0304 05" +
	"0102 4059000000000000 01 010203040506 40000000 0304 06" +
	"0102 4059000000000000 02 010203040506 40400000 0304 07"

var sampleEntries = []policy.Entry{
	{Zone: 0x0102, StartedMs: 100, Health: policy.Draining, Server: sampleAddr, Weight: 1, Cell: 0x0304, Kind: 5},
	{Zone: 0x0102, StartedMs: 100, Health: policy.Ready, Server: sampleAddr, Weight: 2, Cell: 0x0304, Kind: 6},
	{Zone: 0x0102, StartedMs: 100, Health: policy.Gone, Server: sampleAddr, Weight: 3, Cell: 0x0304, Kind: 7},
}

func TestDecodeEveryEventField(t *testing.T) {
	records := []string{"13 00000001 00000002 00000003"} // a server list: the entries after the settings
	for _, e := range sampleEvents {
		records = append(records, e.record)
	}
	var data []byte
	for _, r := range records {
		raw := fromHex(t, r)
		data = append(data, append(raw, make([]byte, EventSize-len(raw))...)...)
	}
	data = append(data, append([]byte("{}"), fromHex(t, sampleEntryHex)...)...)
	head := binary.BigEndian.AppendUint32(nil, uint32(len(records)))
	head = binary.BigEndian.AppendUint32(head, uint32(8+len(data)))
	_, got, err := decodeAll(append(append(head, fromHex(t, "40c06e2000000000")...), data...))
	if err != nil || len(got) != len(sampleEvents) {
		t.Fatalf("%d records of %d, error %v", len(got), len(sampleEvents), err)
	}
	set := map[int]bool{}
	for i, e := range sampleEvents {
		e.want.Instance = 9
		if !reflect.DeepEqual(got[i], e.want) {
			t.Errorf("%s: decoded as\n%+v\nwant\n%+v", e.record, got[i], e.want)
		}
		markSetFields(set, got[i].Event)
	}
	checkAllFieldsSet(t, set, policy.Event{AgeMs: 1, Local: true}) // the agent sets both, the simulator neither
}

func TestEncodeEveryActionField(t *testing.T) {
	set := map[int]bool{}
	for _, c := range []struct {
		action policy.Action
		want   string
	}{
		{policy.Action{Kind: policy.ActSend, Request: 0x0a0b0c0d, Server: sampleAddr, Ms: 12.5, SendByMs: 3, ReuseDelayMs: 10, SingleUse: true}, "54 00000009 0a0b0c0d 010203040506 4029000000000000"},
		{policy.Action{Kind: policy.ActCancel, Request: 0x0a0b0c0d, Attempt: 0x0102}, "59 00000009 0a0b0c0d 0102"},
		{policy.Action{Kind: policy.ActReject, Request: 0x0a0b0c0d, Ms: 12.5}, "51 00000009 0a0b0c0d 4029000000000000"},
		{policy.Action{Kind: policy.ActFail, Request: 0x0a0b0c0d}, "5a 00000009 0a0b0c0d"},
		{policy.Action{Kind: policy.ActProbe, Server: sampleAddr}, "52 00000009 010203040506"},
		{policy.Action{Kind: policy.ActTimer, Ms: 12.5, Token: 0x0a0b0c0d}, "58 00000009 4029000000000000 0a0b0c0d"},
		{policy.Action{Kind: policy.ActWatchList}, "53 00000009 01"},
		{policy.Action{Kind: policy.ActFetchList}, "55 00000009"},
		{policy.Action{Kind: policy.ActClose, Server: sampleAddr}, "50 00000009 010203040506"},
		{policy.Action{Kind: policy.ActLog, Text: "text"}, "5b 00000009 00000000 00000004"},
		{policy.Action{Kind: policy.ActWithdraw, Server: sampleAddr}, ""}, // the simulator has no such action
	} {
		markSetFields(set, c.action)
		var e Encoder
		e.Add(9, &c.action)
		var out bytes.Buffer
		if _, err := e.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		want := fromHex(t, "00000000 00000000")
		if c.want != "" {
			record := fromHex(t, c.want)
			record = append(record, make([]byte, ActionSize-len(record))...)
			record = append(record, c.action.Text...)
			want = append(fromHex(t, fmt.Sprintf("00000001 %08x", len(record))), record...)
		}
		if !bytes.Equal(out.Bytes(), want) {
			t.Errorf("%s: encoded as\n%s\nwant\n%s", c.want, hex.EncodeToString(out.Bytes()), hex.EncodeToString(want))
		}
	}
	checkAllFieldsSet(t, set, policy.Action{})
}

// markSetFields marks in set, by index, the fields of a struct that are not zero.
func markSetFields(set map[int]bool, x any) {
	v := reflect.ValueOf(x)
	for i := range v.NumField() {
		set[i] = set[i] || !v.Field(i).IsZero()
	}
}

// checkAllFieldsSet reports the fields that no sample sets, other than those set in except.
func checkAllFieldsSet(t *testing.T, set map[int]bool, except any) {
	t.Helper()
	v := reflect.ValueOf(except)
	for i := range v.NumField() {
		if !set[i] && v.Field(i).IsZero() {
			t.Errorf("no sample sets %s.%s", v.Type(), v.Type().Field(i).Name)
		}
	}
}

// The values of the enumerations are part of the wire format and of the settings.
func TestEnumerationValues(t *testing.T) {
	for i, c := range []struct{ got, want any }{
		{policy.OK, 100}, {policy.Error, 301}, {policy.Full, 302}, {policy.Timeout, 303}, {policy.ConnectFailed, 304},
		{policy.Reset, 305}, {policy.Cancelled, 306}, {policy.Withdrawn, 307},
		{policy.Draining, 0}, {policy.Ready, 1}, {policy.Gone, 2},
		{policy.ListChange, 0}, {policy.ListFull, 1}, {policy.ListCached, 2}, {policy.ListFailed, 3},
		{policy.Idempotent, "free"}, {policy.Deduplicated, "guarded"}, {policy.NonIdempotent, "single_shot"},
		{policy.GroupAll, "all"}, {policy.GroupZone, "zone"}, {policy.GroupCell, "cell"},
		{EventSize, 48}, {ActionSize, 24},
	} {
		if fmt.Sprint(c.got) != fmt.Sprint(c.want) {
			t.Errorf("value %d: %v, want %v", i, c.got, c.want)
		}
	}
}

// The keys of the settings are those of the golden file, each is decoded into a field of its own, and
// decoding the golden file returns the settings that it was encoded from.
func TestGoldenSettings(t *testing.T) {
	var filled policy.Settings
	next := 0
	fillFields(reflect.ValueOf(&filled).Elem(), &next)
	text, err := json.MarshalIndent(filled, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	const path = "testdata/settings.golden.json"
	if *update {
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, want) {
		t.Errorf("settings with every field set:\n%s\nwant\n%s", text, want)
	}
	got, err := ParseSettings(want)
	if err != nil || !reflect.DeepEqual(got, filled) {
		t.Errorf("the golden settings are read as\n%+v\nwant\n%+v\nerror %v", got, filled, err)
	}
}

// fillFields sets every field in v, also in nested structs and slices, to a distinct value (true for a bool).
func fillFields(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillFields(v.Index(0), next)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int:
		v.SetInt(int64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	default:
		panic("no sample value for " + v.Type().String())
	}
}

// Validation errors name the key of the invalid setting.
func TestValidationNamesTheKeys(t *testing.T) {
	const class = `"classes":[{"name":"a","aimMs":100,"giveUpMs":500,"effect":"guarded","group":"all","keyTtlMs":1,"credit":1}]`
	good := `{` + class + `,"membershipMode":"pushed"}`
	validationError := func(text string) string {
		s, err := ParseSettings([]byte(text))
		if err == nil {
			_, err = policy.New(s, 1)
		}
		return fmt.Sprint(err)
	}
	if got := validationError(good); got != "<nil>" {
		t.Fatal(got)
	}
	for from, to := range map[string]string{
		`"aimMs":100`: `"aimMs":0`, `"giveUpMs":500`: `"giveUpMs":0`, `"credit":1`: `"credit":-1`, `"effect":"guarded"`: `"effect":"x"`,
		`"group":"all"`: `"group":"x"`, `"keyTtlMs":1`: `"keyTtlMs":-1`, `"membershipMode":"pushed"`: `"membershipMode":"x"`,
	} {
		key, _, _ := strings.Cut(strings.Trim(from, `"`), `"`)
		if key != "membershipMode" {
			key = "classes[0]." + key
		}
		if got := validationError(strings.Replace(good, from, to, 1)); !strings.HasPrefix(got, "settings: "+key+": ") {
			t.Errorf("%s: error %q", to, got)
		}
	}
	numbers := []string{"contract.answerSlackMs", "contract.askWithinMs", "contract.coldFrom", "contract.coldMs", "contract.drainGraceMs",
		"contract.fallMultiple", "contract.tipAfterMs", "limits.keepaliveMs", "limits.maxAttempts", "limits.maxRetryAfterMs",
		"prices.connection", "prices.crossZone", "prices.handshake", "replicasOfMe", "roundMs"}
	for _, path := range numbers {
		keys := strings.Split(path, ".")
		text := "-1"
		for _, key := range slices.Backward(keys) {
			text = fmt.Sprintf(`{%q:%s}`, key, text)
		}
		got := validationError(`{` + class + `,"membershipMode":"pushed",` + text[1:])
		if want := "settings: " + path + ": must be 0 or above, is -1"; got != want {
			t.Errorf("%s: error %q, want %q", path, got, want)
		}
	}
}

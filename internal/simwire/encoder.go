package simwire

import (
	"encoding/binary"
	"io"

	"knotrouter/policy"
)

// Encoder builds one reply frame. Its zero value is an empty reply. It is not safe for concurrent use.
type Encoder struct {
	count   uint32
	records []byte
	tail    []byte
}

// Reset empties the reply, so that the encoder can build the next one.
func (e *Encoder) Reset() { e.count, e.records, e.tail = 0, e.records[:0], e.tail[:0] }

// addRecord appends a record and returns its bytes, in which the caller sets the fields after the instance.
func (e *Encoder) addRecord(code byte, instance uint32) []byte {
	at := len(e.records)
	e.records = append(e.records, make([]byte, ActionSize)...)
	e.count++
	raw := e.records[at:]
	raw[0] = code
	binary.BigEndian.PutUint32(raw[1:], instance)
	return raw
}

// addText appends a record that refers to a text in the tail, and the text.
func (e *Encoder) addText(code byte, instance uint32, text string) {
	raw := e.addRecord(code, instance)
	binary.BigEndian.PutUint32(raw[5:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(raw[9:], uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// Crash appends a record that reports, with a message, that an instance's decision code failed.
func (e *Encoder) Crash(instance uint32, text string) { e.addText(codeCrash, instance, text) }

// Add appends one action of an instance. It skips ActWithdraw, which the wire format does not have.
func (e *Encoder) Add(instance uint32, a *policy.Action) {
	be := binary.BigEndian
	switch a.Kind {
	case policy.ActSend:
		raw := e.addRecord(codeSend, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		copy(raw[9:15], a.Server[:])
		putF64(raw[15:], a.Ms)
	case policy.ActCancel:
		raw := e.addRecord(codeCancel, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		be.PutUint16(raw[9:], uint16(a.Attempt))
	case policy.ActReject:
		raw := e.addRecord(codeReject, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		putF64(raw[9:], a.Ms)
	case policy.ActFail:
		be.PutUint32(e.addRecord(codeFail, instance)[5:], uint32(a.Request))
	case policy.ActProbe:
		copy(e.addRecord(codeProbe, instance)[5:11], a.Server[:])
	case policy.ActTimer:
		raw := e.addRecord(codeSetTimer, instance)
		putF64(raw[5:], a.Ms)
		be.PutUint32(raw[13:], a.Token)
	case policy.ActWatchList:
		e.addRecord(codeWatchList, instance)[5] = 1
	case policy.ActFetchList:
		e.addRecord(codeFetchList, instance)
	case policy.ActClose:
		copy(e.addRecord(codeCloseIdle, instance)[5:11], a.Server[:])
	case policy.ActLog:
		e.addText(codeLog, instance, a.Text)
	}
}

// WriteTo writes the reply frame, and returns the number of bytes written and the first error of w.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var header [frameHeaderSize]byte
	binary.BigEndian.PutUint32(header[:], e.count)
	binary.BigEndian.PutUint32(header[4:], uint32(len(e.records)+len(e.tail)))
	var total int64
	for _, part := range [][]byte{header[:], e.records, e.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

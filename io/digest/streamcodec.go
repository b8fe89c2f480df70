package digest

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/streamstart"
)

// streamQuery asks at which version a stream began.
type streamQuery struct {
	Service core.Service `cbor:"1,keyasint"`
	Request uint64       `cbor:"2,keyasint"`
	// IsRepeated is set if the first query didn't bring the version.
	IsRepeated bool `cbor:"3,keyasint,omitempty"`
}

// streamAnswer is what an instance knows about the version at which a stream began.
type streamAnswer struct {
	Kind streamstart.EvidenceKind `cbor:"1,keyasint,omitempty"`
	Tag  streamstart.Tag          `cbor:"2,keyasint,omitempty"`
	// AgeMs is the age of evidence of a single version, in milliseconds.
	AgeMs uint32 `cbor:"3,keyasint,omitempty"`
	// Request is that of the query.
	Request uint64 `cbor:"4,keyasint,omitempty"`
}

// checkStreams returns an error if the packet lacks what its kind requires.
func (p *packet) checkStreams() error {
	isComplete := p.Kind == packetStreamStarts && len(p.StreamStarts) > 0 ||
		p.Kind == packetStreamQuery && p.StreamQuery != nil || p.Kind == packetStreamAnswer && p.StreamAnswer != nil
	if !isComplete {
		return errors.New("decode datagram: stream record, query or answer is missing")
	}
	return nil
}

const (
	// Records are sent in groups of the same tag. A group has a tag of 4 bytes and a count of
	// one byte, followed by the records: the hash of the request, and the time until the record
	// expires as a number of expiryUnits in 2 bytes.
	groupHeaderSize = 5
	recordSize      = 10
	expiryUnit      = 10 * time.Millisecond
	// recordsPerPacket keeps packets within maxPacketSize even if each record has another tag.
	recordsPerPacket = 90
)

// encodeStarts encodes up to recordsPerPacket records.
func encodeStarts(now core.Instant, records []streamstart.Record) []byte {
	data := make([]byte, 0, len(records)*recordSize+groupHeaderSize)
	done := make([]bool, len(records))
	for i := range records {
		if done[i] {
			continue
		}
		data = binary.LittleEndian.AppendUint32(data, uint32(records[i].Tag))
		countAt := len(data)
		data = append(data, 0)
		for j := i; j < len(records); j++ {
			r := records[j]
			if done[j] || r.Tag != records[i].Tag {
				continue
			}
			done[j] = true
			data[countAt]++
			data = binary.LittleEndian.AppendUint64(data, r.Request)
			units := min(max(0, r.Expires.Sub(now)/expiryUnit), 1<<16-1)
			data = binary.LittleEndian.AppendUint16(data, uint16(units))
		}
	}
	return data
}

// decodeStarts calls yield for each record. It returns an error if data is malformed.
func decodeStarts(now core.Instant, data []byte, yield func(streamstart.Record)) error {
	for len(data) > 0 {
		if len(data) < groupHeaderSize {
			return errors.New("decode stream records: truncated header")
		}
		tag := streamstart.Tag(binary.LittleEndian.Uint32(data))
		size := int(data[groupHeaderSize-1]) * recordSize
		data = data[groupHeaderSize:]
		if len(data) < size {
			return errors.New("decode stream records: truncated record")
		}
		for ; size > 0; size -= recordSize {
			yield(streamstart.Record{
				Request: binary.LittleEndian.Uint64(data), Tag: tag,
				Expires: now.Add(time.Duration(binary.LittleEndian.Uint16(data[8:])) * expiryUnit),
			})
			data = data[recordSize:]
		}
	}
	return nil
}
